package scheduler

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Progress records the cost so far of a running attempt.
func (s *Scheduler) Progress(now time.Duration, m message.Progress) {
	s.advanceClock(now)
	r := s.findAttempt(m.Ref)
	if r == nil || r.state == stateQueued {
		return
	}
	if r.state == stateExpired {
		s.reinstateGrant(r)
	}
	s.applyProgress(r, clampMessageCost(m.Cost))
}

func (s *Scheduler) applyProgress(r *request, cost ident.Cost) {
	r.due = s.now + GrantTimeout
	if cost <= r.reported {
		return
	}
	s.setReported(r, cost)
	s.setCharge(r, max(r.estimate, cost))
	s.totals.observeCost(r, r.charge)
}

// Settle records the end of an attempt.
func (s *Scheduler) Settle(now time.Duration, m message.Settle, out *Decisions) {
	s.advanceClock(now)
	cost := clampMessageCost(m.Cost)
	if r := s.findAttempt(m.Ref); r != nil && r.state != stateQueued {
		s.recordResult(r, m, cost)
	}
	s.finishAttempt(m.Ref, m.Result, cost)
	s.grantQueued(out)
}

// recordResult updates the cost statistics and the state of the backend server at the end of an attempt.
func (s *Scheduler) recordResult(r *request, m message.Settle, cost ident.Cost) {
	b := r.backend
	switch m.Result {
	case message.SettleOK:
		s.learnCost(r, cost, m.RunMS)
		if b != nil {
			b.recordSuccess(s.now)
		}
	case message.SettleRefused:
		if b != nil {
			b.recordRefusal(s.now, b.probe == r)
		}
	case message.SettleFailed:
		s.totals.observeCost(r, cost)
		if b != nil {
			b.recordFailure(s.now, b.probe == r)
		}
	}
}

func (s *Scheduler) learnCost(r *request, cost ident.Cost, runMS uint32) {
	s.totals.observeCost(r, cost)
	r.team.estimator.learn(r.hint, cost)
	s.totals.meanCost = movingMean(s.totals.meanCost, float64(cost))
	s.totals.meanRunMS = movingMean(s.totals.meanRunMS, float64(max(runMS, 1)))
}

// finishAttempt ends an attempt. The outcome is recorded even if the attempt is unknown, so that its late messages are
// ignored.
func (s *Scheduler) finishAttempt(ref ident.AttemptRef, result message.SettleResult, cost ident.Cost) {
	ss := s.getOrCreateSession(ref.Request)
	if ss == nil {
		return
	}
	if r := s.findAttempt(ref); r != nil {
		if result == message.SettleUnused || result == message.SettleRefused {
			cost = 0
			s.totals.observeCost(r, r.reported)
		}
		s.dequeueOrRelease(r)
		s.setReported(r, cost)
		s.setCharge(r, cost)
		s.removeRequest(r)
	}
	kind := outcomeSettled
	if result == message.SettleUnused {
		kind = outcomeUnused
	}
	s.recordOutcome(ss, ref.Request.Seq, outcome{attempt: ref.Attempt, kind: kind})
}

// expireGrant releases a grant that its ingress no longer reports on. The charge is reduced to the reported cost; a
// late Progress or Settle corrects it.
func (s *Scheduler) expireGrant(r *request) {
	if b := r.backend; b != nil && b.probe == r {
		b.postponeProbe(s.now)
	}
	s.releaseSlot(r)
	s.totals.observeCost(r, r.reported)
	r.state = stateExpired
	s.setCharge(r, r.reported)
	r.due = s.now + expiredGrantRetention
	s.wheel.schedule(r, s.now)
}

// reinstateGrant counts an attempt whose grant expired as running again.
func (s *Scheduler) reinstateGrant(r *request) {
	r.backend = s.currentBackend(r.backend)
	s.occupySlot(r)
	s.setCharge(r, max(r.estimate, r.reported))
	s.reorder(r.team)
}

// Running adopts an attempt that runs under a grant of another dispatcher, or confirms one that is already known.
func (s *Scheduler) Running(now time.Duration, m message.Running) {
	s.advanceClock(now)
	ss := s.getOrCreateSession(m.Ref.Request)
	if ss == nil {
		return
	}
	if o, ok := ss.outcomes[m.Ref.Request.Seq]; ok && o.attempt >= m.Ref.Attempt {
		if o.attempt > m.Ref.Attempt || o.kind == outcomeSettled {
			return
		}
		// The attempt did not run under a grant of this dispatcher, and runs under a grant of another one.
		delete(ss.outcomes, m.Ref.Request.Seq)
	}
	if r := ss.requests[m.Ref.Request.Seq]; r != nil {
		if r.attempt > m.Ref.Attempt {
			return
		}
		if r.attempt == m.Ref.Attempt && s.confirmRunning(r, &m) {
			return
		}
		s.supersede(r)
	}
	s.adopt(ss, &m)
}

// confirmRunning applies a Running message to a known attempt. It returns false if the attempt must be adopted instead.
func (s *Scheduler) confirmRunning(r *request, m *message.Running) bool {
	if r.state == stateQueued || r.backend == nil || r.backend.ID != m.Backend {
		return false
	}
	r.confirmedRunning = true
	if r.state == stateExpired {
		s.reinstateGrant(r)
	}
	s.applyProgress(r, clampMessageCost(m.Cost))
	return true
}

func (s *Scheduler) adopt(ss *session, m *message.Running) {
	t := s.getOrCreateTeam(m.Team)
	r := s.newRequest(ss, m.Ref, t)
	r.backend = s.byID[m.Backend]
	r.adopted = true
	r.confirmedRunning = true
	r.reported = clampMessageCost(m.Cost)
	s.occupySlot(r)
	s.advanceRamp(r.backend)
	s.reorder(t)
}

// advanceRamp raises the ramp-up limit of a backend server to its number of requests in flight. Adopted attempts may
// exceed the limit and show that the backend server is in use.
func (s *Scheduler) advanceRamp(b *backend) {
	if b != nil && b.rampLimit > 0 && b.running > b.rampLimit {
		b.rampLimit = b.running
	}
}
