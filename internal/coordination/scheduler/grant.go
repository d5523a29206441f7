package scheduler

import (
	"math"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// pump grants queued requests in fair order until no backend server is available or no team has eligible work. Teams
// whose requests exclude every available backend server are parked.
func (s *Scheduler) pump(out *Decisions) {
	s.refresh()
	level, granted := 0.0, false
	for s.available != 0 {
		s.unparkFirst()
		if len(s.fair) == 0 {
			break
		}
		t := s.fair[0].team
		r := s.nextOf(t)
		if r == nil {
			s.park(t)
			continue
		}
		if r.deadline <= s.now {
			s.reject(r, message.RejectDeadline, out)
			continue
		}
		b := s.choose(r)
		if b == nil { // more backend servers than bits in a mask
			if r.excludes == 0 {
				break
			}
			s.fair.remove(t)
			s.skipped = append(s.skipped, t)
			continue
		}
		level, granted = t.counter, true
		s.grant(r, b, out)
	}
	s.returnSkipped(level, granted)
	s.report(out)
}

// returnSkipped brings the teams that were passed over back into the fair order. They are lifted to the team that was
// served in their place, so that work nobody could run earns no credit.
func (s *Scheduler) returnSkipped(level float64, granted bool) {
	for i, t := range s.skipped {
		if granted && level > t.counter {
			t.lift(level)
		}
		s.fair.push(t)
		s.skipped[i] = nil
	}
	s.skipped = s.skipped[:0]
}

// nextOf returns the team's earliest request that an available backend server may take, or nil. Some backend server is
// available.
func (s *Scheduler) nextOf(t *team) *request {
	r := t.head()
	if s.placeable(r) {
		return r
	}
	var best *request
	if len(t.free) > 0 {
		best = t.free[0]
	}
	for _, r := range t.bound {
		if (best == nil || r.earlier(best)) && s.placeable(r) {
			best = r
		}
	}
	return best
}

// grant gives a queued request a slot of the backend server.
func (s *Scheduler) grant(r *request, b *backend, out *Decisions) {
	t := r.team
	t.queueOf(r).remove(r)
	s.totals.queued--
	t.grants++
	s.last = t
	r.backend = b
	if b.health == healthEjected {
		b.probe = r
	}
	r.lifts = t.lifts
	r.weight = t.weight
	r.estimate = t.est.estimate(r.hint, s.totals.meanCost)
	s.occupy(r)
	s.remember(r)
	s.setCharge(r, r.estimate)
	r.lag = s.lagOf(t)
	s.emitGrant(r, out)
}

// occupy counts a request as running and starts its timeout.
func (s *Scheduler) occupy(r *request) {
	r.state = stateGranted
	r.team.running++
	s.totals.running++
	s.totals.maxRunning = max(s.totals.maxRunning, s.totals.running)
	if b := r.backend; b != nil {
		b.running++
		b.limit = b.limitAt(s.now)
		s.noteAvailable(b)
	}
	r.due = s.now + GrantTimeout
	s.wheel.set(r, s.now)
}

// release frees the slot of a granted request.
func (s *Scheduler) release(r *request) {
	t := r.team
	t.running--
	s.totals.running--
	if b := r.backend; b != nil {
		b.running--
		if b.probe == r {
			b.probe = nil
		}
	}
	s.reorder(t)
}

// remember expects the request's prompt in the cache of its backend server.
func (s *Scheduler) remember(r *request) {
	for i := range r.prefixes {
		s.cache.add(r.prefix[i], r.backend, s.now)
	}
}

// lagOf returns how far the team's counter is above the lowest counter of the backlogged teams.
func (s *Scheduler) lagOf(t *team) int64 {
	if len(s.fair) == 0 {
		return 0
	}
	return int64(math.Round(max(t.counter-s.fair[0].counter, 0)))
}

func (s *Scheduler) emitGrant(r *request, out *Decisions) {
	out.Grants = append(out.Grants, message.Grant{
		Shard:      s.opts.Shard,
		Ref:        r.ref(),
		Backend:    r.backend.ID,
		Fence:      s.opts.Epoch,
		Lag:        r.lag,
		Generation: s.opts.Generation,
	})
}

// setCharge replaces what the team's counter holds for the request. An adopted attempt changes nothing: the lag that came
// with the hand-over holds its whole estimate, which is not known here, so that its cost would count twice.
func (s *Scheduler) setCharge(r *request, cost ident.Cost) {
	change := cost - r.charge
	r.charge = cost
	if change == 0 || r.adopted {
		return
	}
	t := r.team
	t.charge(float64(change)/r.weight, r.lifts)
	s.noteUnreported(t, change)
	if t.heapPos != notInHeap {
		s.reorder(t)
	}
}

// setReported replaces the served cost that the ingress reported for the request.
func (s *Scheduler) setReported(r *request, cost ident.Cost) {
	change := cost - r.reported
	r.reported = cost
	r.team.served += change
	s.totals.served += change
}
