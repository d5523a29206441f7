package scheduler

import (
	"maps"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Enqueue queues an attempt. A repeated message gets the same answer as the first one.
func (s *Scheduler) Enqueue(now time.Duration, m message.Enqueue, out *Decisions) {
	s.advanceClock(now)
	s.enqueueAttempt(&m, out)
	s.grantQueued(out)
}

// EnqueueAll queues all attempts before it grants any of them.
func (s *Scheduler) EnqueueAll(now time.Duration, list []message.Enqueue, out *Decisions) {
	s.advanceClock(now)
	for i := range list {
		s.enqueueAttempt(&list[i], out)
	}
	s.grantQueued(out)
}

func (s *Scheduler) enqueueAttempt(m *message.Enqueue, out *Decisions) {
	ss := s.getOrCreateSession(m.Ref.Request)
	if ss == nil {
		return
	}
	if o, ok := ss.outcomes[m.Ref.Request.Seq]; ok && o.attempt >= m.Ref.Attempt {
		s.repeatOutcome(m.Ref, o, out)
		return
	}
	if r := ss.requests[m.Ref.Request.Seq]; r != nil {
		if r.attempt >= m.Ref.Attempt {
			s.repeatEnqueue(r, m, out)
			return
		}
		s.supersede(r)
	}
	s.admit(ss, m, out)
}

// repeatOutcome answers an Enqueue of an attempt that has already left the scheduler.
func (s *Scheduler) repeatOutcome(ref ident.AttemptRef, o outcome, out *Decisions) {
	if o.attempt != ref.Attempt {
		return
	}
	switch o.kind {
	case outcomeRejected:
		out.Rejects = append(out.Rejects, message.Reject{
			Shard: s.opts.Shard, Ref: ref, Reason: o.reason, RetryAfterMS: retryAfterMinMS,
		})
	case outcomeRedirected:
		out.Redirects = append(out.Redirects, message.Redirect{Shard: s.opts.Shard, Ref: ref, To: o.to})
	}
}

// repeatEnqueue answers an Enqueue of a request that the scheduler still holds.
func (s *Scheduler) repeatEnqueue(r *request, m *message.Enqueue, out *Decisions) {
	if r.attempt != m.Ref.Attempt || r.state == stateQueued || r.confirmedRunning {
		return
	}
	if r.backend == nil || !r.backend.accepting() {
		// The ingress did not receive the grant, and the backend server accepts no new work.
		ss := r.session
		s.supersede(r)
		s.admit(ss, m, out)
		return
	}
	if r.state == stateExpired {
		s.reinstateGrant(r)
	}
	r.due = s.now + GrantTimeout
	s.emitGrant(r, out)
}

// admit queues, redirects or rejects a new attempt.
func (s *Scheduler) admit(ss *session, m *message.Enqueue, out *Decisions) {
	t := s.getOrCreateTeam(m.Team)
	r := s.newRequest(ss, m.Ref, t)
	r.setPlacement(m)
	r.arrival = s.now - time.Duration(m.WaitedMS)*time.Millisecond
	r.deadline = s.now + time.Duration(m.DeadlineMS)*time.Millisecond
	switch {
	case m.DeadlineMS == 0:
		s.reject(r, message.RejectDeadline, out)
	case s.configured && !s.hasCandidate(r):
		s.redirectOrReject(r, out)
	case t.queued() >= t.maxQueued || s.exceedsQueueShare(t):
		s.reject(r, message.RejectQueueFull, out)
	default:
		s.restoreLag(t, r, m.Lag)
		s.queueRequest(r)
	}
}

// exceedsQueueShare reports whether the shard's queue is full and the team holds at least an equal share of it.
func (s *Scheduler) exceedsQueueShare(t *team) bool {
	return s.totals.queued >= maxShardQueued && t.queued() >= maxShardQueued/max(len(s.ready), 1)
}

// queueRequest adds a request to its team's queue.
func (s *Scheduler) queueRequest(r *request) {
	r.state = stateQueued
	r.due = r.deadline
	s.wheel.schedule(r, s.now)
	t := r.team
	if r.excludeCount > 0 {
		r.allowed = s.allowedMask(r)
	}
	t.queueOf(r).push(r)
	s.totals.queued++
	s.reorder(t)
}

// activate adds a team to the ready queue if it has eligible work. The team's counter is lifted, unless its backlog was
// handed over from a former dispatcher.
func (s *Scheduler) activate(t *team) {
	if t.queued() == 0 || t.capped() {
		return
	}
	if t.wasReady || !s.handedOver(t.head()) {
		t.lift(s.liftLevel(t))
	}
	t.wasReady = true
	s.ready.push(t)
}

// liftLevel returns the counter to which a team that becomes ready is lifted: the lowest counter in the ready queue, or
// that of the team served last when the queue is empty.
func (s *Scheduler) liftLevel(t *team) float64 {
	if len(s.ready) > 0 {
		return s.ready[0].counter
	}
	if s.lastServed != nil && s.lastServed != t {
		return s.lastServed.counter
	}
	return t.counter
}

// reorder updates the team's position in the ready queue or its parked group after a change of its counter, queue or
// limits. It adds or removes the team as needed.
func (s *Scheduler) reorder(t *team) {
	eligible := t.queued() > 0 && !t.capped()
	switch {
	case t.heapPos == notInHeap:
		s.activate(t)
	case t.group != nil && (!eligible || t.allowedBackends() != t.group.allowed):
		s.unpark(t)
		s.activate(t)
	case !eligible:
		s.ready.remove(t)
	default:
		s.heapOf(t).fix(t)
	}
}

// restoreLag sets the counter of a team without grants from the lag in the last grant of a former dispatcher. The lag
// is relative to the lowest counter at that time, which corresponds to 0 here. Since then the other teams have caught
// up by an unknown part of it, half on average, so half of it is applied. The full lag would put teams with large
// requests at a disadvantage with each handover.
func (s *Scheduler) restoreLag(t *team, r *request, lag int64) {
	if t.grants > 0 || r.redirected {
		return
	}
	if v := float64(lag) / 2; v > t.counter {
		t.counter = v
	}
}

// handedOver reports whether a request was queued at a former dispatcher. Its team is not lifted when it first becomes
// ready: it was backlogged there, and its lag determines its position among the other teams.
func (s *Scheduler) handedOver(r *request) bool {
	return r.arrival < s.startedAt && s.now < s.startedAt+handoverWindow && !r.redirected
}

// Cancel withdraws a queued or granted attempt that was not sent to a backend server.
func (s *Scheduler) Cancel(now time.Duration, m message.Cancel, out *Decisions) {
	s.advanceClock(now)
	s.finishAttempt(m.Ref, message.SettleUnused, 0)
	s.grantQueued(out)
}

// dequeueOrRelease removes a request from its queue, or releases its slot if it was granted.
func (s *Scheduler) dequeueOrRelease(r *request) {
	switch r.state {
	case stateQueued:
		s.dequeue(r)
	case stateGranted:
		s.releaseSlot(r)
	}
}

func (s *Scheduler) dequeue(r *request) {
	t := r.team
	t.queueOf(r).remove(r)
	s.totals.queued--
	if t.heapPos != notInHeap {
		s.reorder(t)
	}
}

// supersede drops an attempt that is replaced by a new attempt or a new registration of the same request.
func (s *Scheduler) supersede(r *request) {
	s.dequeueOrRelease(r)
	s.setCharge(r, r.reported)
	s.removeRequest(r)
}

// reject drops an attempt without a grant and tells its ingress the reason.
func (s *Scheduler) reject(r *request, reason message.RejectReason, out *Decisions) {
	s.dequeueOrRelease(r)
	out.Rejects = append(out.Rejects, message.Reject{
		Shard: s.opts.Shard, Ref: r.ref(), Reason: reason, RetryAfterMS: s.retryAfter(r.team),
	})
	s.recordOutcome(r.session, r.seq, outcome{attempt: r.attempt, kind: outcomeRejected, reason: reason})
	s.removeRequest(r)
}

// retryAfter estimates the time until the team's queue has room, in milliseconds.
func (s *Scheduler) retryAfter(t *team) uint32 {
	ms := s.totals.meanRunMS * float64(t.queued()) / float64(max(t.running, 1))
	return uint32(min(max(ms, retryAfterMinMS), retryAfterMaxMS))
}

// redirectOrReject answers a request for which the shard has no backend server. Another shard may have one, so that a
// request that was not redirected before is sent to a sibling.
func (s *Scheduler) redirectOrReject(r *request, out *Decisions) {
	if s.siblings > 1 && !r.redirected {
		s.redirect(r, s.exchange.nextSibling(s), out)
		return
	}
	s.reject(r, message.RejectNoBackend, out)
}

// removeWithoutCandidate redirects or rejects all queued requests without a candidate, by team name and in queue order.
func (s *Scheduler) removeWithoutCandidate(out *Decisions) {
	for _, id := range slices.Sorted(maps.Keys(s.teams)) {
		for _, r := range s.withoutCandidate(s.teams[id]) {
			s.redirectOrReject(r, out)
		}
	}
}

// withoutCandidate returns a team's queued requests without a candidate, earliest first.
func (s *Scheduler) withoutCandidate(t *team) []*request {
	var list []*request
	if !s.hasAcceptingBackend() {
		list = append(list, t.unrestricted...)
	}
	for _, r := range t.restricted {
		if !s.hasCandidate(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int {
		if a.arrivedBefore(b) {
			return -1
		}
		return 1
	})
	return list
}
