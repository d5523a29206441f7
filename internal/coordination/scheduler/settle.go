package scheduler

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Progress takes in the cost so far of a running attempt.
func (s *Scheduler) Progress(now time.Duration, m message.Progress) {
	s.at(now)
	r := s.find(m.Ref)
	if r == nil || r.state == stateQueued {
		return
	}
	if r.state == stateLost {
		s.readopt(r)
	}
	s.progress(r, boundCost(m.Cost))
}

func (s *Scheduler) progress(r *request, cost ident.Cost) {
	r.due = s.now + GrantTimeout
	if cost <= r.reported {
		return
	}
	s.setReported(r, cost)
	s.setCharge(r, max(r.estimate, cost))
	s.totals.observe(r, r.charge)
}

// Settle takes in the end of an attempt.
func (s *Scheduler) Settle(now time.Duration, m message.Settle, out *Decisions) {
	s.at(now)
	cost := boundCost(m.Cost)
	if r := s.find(m.Ref); r != nil && r.state != stateQueued {
		s.observeEnd(r, m, cost)
	}
	s.finish(m.Ref, m.Result, cost)
	s.pump(out)
}

// observeEnd learns from the end of an attempt.
func (s *Scheduler) observeEnd(r *request, m message.Settle, cost ident.Cost) {
	b := r.backend
	switch m.Result {
	case message.SettleOK:
		s.learn(r, cost, m.RunMS)
		if b != nil {
			b.succeeded(s.now)
		}
	case message.SettleRefused:
		if b != nil {
			b.refused(s.now, b.probe == r)
		}
	case message.SettleFailed:
		s.totals.observe(r, cost)
		if b != nil {
			b.failed(s.now, b.probe == r)
		}
	}
}

func (s *Scheduler) learn(r *request, cost ident.Cost, runMS uint32) {
	s.totals.observe(r, cost)
	r.team.est.learn(r.hint, cost)
	s.totals.meanCost = decayed(s.totals.meanCost, float64(cost))
	s.totals.meanRunMS = decayed(s.totals.meanRunMS, float64(max(runMS, 1)))
}

// finish ends an attempt, known or not, so that its late messages are ignored.
func (s *Scheduler) finish(ref ident.AttemptRef, result message.SettleResult, cost ident.Cost) {
	ss := s.lookup(ref.Request)
	if ss == nil {
		return
	}
	if r := s.find(ref); r != nil {
		if result == message.SettleUnused || result == message.SettleRefused {
			cost = 0
			s.totals.observe(r, r.reported)
		}
		s.leave(r)
		s.setReported(r, cost)
		s.setCharge(r, cost)
		s.drop(r)
	}
	kind := endSettled
	if result == message.SettleUnused {
		kind = endUnused
	}
	s.record(ss, ref.Request.Seq, ending{attempt: ref.Attempt, kind: kind})
}

// lose releases a grant that its ingress no longer reports. The charge falls to the reported cost; a late Progress or
// Settle corrects it.
func (s *Scheduler) lose(r *request) {
	if b := r.backend; b != nil && b.probe == r {
		b.postponeProbe(s.now)
	}
	s.release(r)
	s.totals.observe(r, r.reported)
	r.state = stateLost
	s.setCharge(r, r.reported)
	r.due = s.now + lostRetention
	s.wheel.set(r, s.now)
}

// readopt counts a lost attempt as running again.
func (s *Scheduler) readopt(r *request) {
	r.backend = s.current(r.backend)
	s.occupy(r)
	s.setCharge(r, max(r.estimate, r.reported))
	s.reorder(r.team)
}

// Running adopts an attempt that runs under a grant of another dispatcher.
func (s *Scheduler) Running(now time.Duration, m message.Running) {
	s.at(now)
	ss := s.lookup(m.Ref.Request)
	if ss == nil {
		return
	}
	if e, ok := ss.ended[m.Ref.Request.Seq]; ok && e.attempt >= m.Ref.Attempt {
		if e.attempt > m.Ref.Attempt || e.kind == endSettled {
			return
		}
		// The attempt left this dispatcher without a run, and runs under a grant of another.
		delete(ss.ended, m.Ref.Request.Seq)
	}
	if r := ss.requests[m.Ref.Request.Seq]; r != nil {
		if r.attempt > m.Ref.Attempt {
			return
		}
		if r.attempt == m.Ref.Attempt && s.confirm(r, &m) {
			return
		}
		s.abandon(r)
	}
	s.adopt(ss, &m)
}

// confirm takes in a Running report of a known attempt. It returns false when the attempt must be adopted anew.
func (s *Scheduler) confirm(r *request, m *message.Running) bool {
	if r.state == stateQueued || r.backend == nil || r.backend.ID != m.Backend {
		return false
	}
	r.runs = true
	if r.state == stateLost {
		s.readopt(r)
	}
	s.progress(r, boundCost(m.Cost))
	return true
}

func (s *Scheduler) adopt(ss *session, m *message.Running) {
	t := s.teamOf(m.Team)
	r := s.newRequest(ss, m.Ref, t)
	r.backend = s.byID[m.Backend]
	r.adopted = true
	r.runs = true
	r.reported = boundCost(m.Cost)
	s.occupy(r)
	s.warm(r.backend)
	s.reorder(t)
}

// warm ends the ramp-up of a backend server as far as adopted attempts show that it is in use.
func (s *Scheduler) warm(b *backend) {
	if b != nil && b.ramp > 0 && b.running > b.ramp {
		b.ramp = b.running
	}
}
