package scheduler

import (
	"math"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// grantQueued grants queued requests in fair order until no backend server is available or no team has eligible work.
// Teams whose requests exclude every available backend server are parked. It then emits the service deltas that have
// reached the quantum.
func (s *Scheduler) grantQueued(out *Decisions) {
	s.refreshLimits()
	level, granted := 0.0, false
	for s.available != 0 {
		s.unparkFirst()
		if len(s.ready) == 0 {
			break
		}
		t := s.ready[0].team
		r := s.nextPlaceable(t)
		if r == nil {
			s.park(t)
			continue
		}
		if r.deadline <= s.now {
			s.reject(r, message.RejectDeadline, out)
			continue
		}
		b := s.chooseBackend(r)
		if b == nil { // more backend servers than bits in a mask
			if r.excludeCount == 0 {
				break
			}
			s.ready.remove(t)
			s.skipped = append(s.skipped, t)
			continue
		}
		level, granted = t.counter, true
		s.grant(r, b, out)
	}
	s.requeueSkipped(level, granted)
	s.emitServiceDeltas(out)
}

// requeueSkipped returns the skipped teams to the ready queue. If another team was granted meanwhile, they are lifted
// to level, the counter of the team granted last, so that they gain no credit for requests that could not run.
func (s *Scheduler) requeueSkipped(level float64, granted bool) {
	for i, t := range s.skipped {
		if granted && level > t.counter {
			t.lift(level)
		}
		s.ready.push(t)
		s.skipped[i] = nil
	}
	s.skipped = s.skipped[:0]
}

// nextPlaceable returns the team's earliest request that an available backend server may run, or nil. At least one
// backend server must be available.
func (s *Scheduler) nextPlaceable(t *team) *request {
	r := t.head()
	if s.placeable(r) {
		return r
	}
	var best *request
	if len(t.unrestricted) > 0 {
		best = t.unrestricted[0]
	}
	for _, r := range t.restricted {
		if (best == nil || r.arrivedBefore(best)) && s.placeable(r) {
			best = r
		}
	}
	return best
}

// grant assigns a slot of the backend server to a queued request.
func (s *Scheduler) grant(r *request, b *backend, out *Decisions) {
	t := r.team
	t.queueOf(r).remove(r)
	s.totals.queued--
	t.grants++
	s.lastServed = t
	r.backend = b
	if b.health == healthEjected {
		b.probe = r
	}
	r.lifts = t.lifts
	r.weight = t.weight
	r.estimate = t.estimator.estimate(r.hint, s.totals.meanCost)
	s.occupySlot(r)
	s.recordPrefixes(r)
	s.setCharge(r, r.estimate)
	r.lag = s.lagOf(t)
	s.emitGrant(r, out)
}

// occupySlot counts a request as running and starts its grant timeout.
func (s *Scheduler) occupySlot(r *request) {
	r.state = stateGranted
	r.team.running++
	s.totals.running++
	s.totals.maxRunning = max(s.totals.maxRunning, s.totals.running)
	if b := r.backend; b != nil {
		b.running++
		b.limit = b.limitAt(s.now)
		s.updateAvailable(b)
	}
	r.due = s.now + GrantTimeout
	s.wheel.schedule(r, s.now)
}

// releaseSlot frees the slot of a granted request.
func (s *Scheduler) releaseSlot(r *request) {
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

// recordPrefixes adds the request's prefixes to the index, because its backend server will have them cached.
func (s *Scheduler) recordPrefixes(r *request) {
	for i := range r.prefixCount {
		s.cache.add(r.prefix[i], r.backend, s.now)
	}
}

// lagOf returns the amount by which the team's counter exceeds the lowest counter in the ready queue, at least 0.
func (s *Scheduler) lagOf(t *team) int64 {
	if len(s.ready) == 0 {
		return 0
	}
	return int64(math.Round(max(t.counter-s.ready[0].counter, 0)))
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

// setCharge replaces the cost charged to the team for the request. For an adopted attempt it changes neither the team's
// counter nor its pending delta: the lag from the handover already includes the whole estimate, which is not known
// here, so that the cost would be charged twice.
func (s *Scheduler) setCharge(r *request, cost ident.Cost) {
	change := cost - r.charge
	r.charge = cost
	if change == 0 || r.adopted {
		return
	}
	t := r.team
	t.charge(float64(change)/r.weight, r.lifts)
	s.addPendingDelta(t, change)
	if t.heapPos != notInHeap {
		s.reorder(t)
	}
}

// setReported replaces the cost that the ingress reported for the request and updates the sums of served cost.
func (s *Scheduler) setReported(r *request, cost ident.Cost) {
	change := cost - r.reported
	r.reported = cost
	r.team.served += change
	s.totals.served += change
}
