package scheduler

import (
	"maps"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Enqueue queues an attempt. A repeated message gets the same answer as the first.
func (s *Scheduler) Enqueue(now time.Duration, m message.Enqueue, out *Decisions) {
	s.at(now)
	s.enqueue(&m, out)
	s.pump(out)
}

// EnqueueAll queues attempts and grants none before all are queued.
func (s *Scheduler) EnqueueAll(now time.Duration, list []message.Enqueue, out *Decisions) {
	s.at(now)
	for n := range list {
		s.enqueue(&list[n], out)
	}
	s.pump(out)
}

func (s *Scheduler) enqueue(m *message.Enqueue, out *Decisions) {
	ss := s.lookup(m.Ref.Request)
	if ss == nil {
		return
	}
	if e, ok := ss.ended[m.Ref.Request.Seq]; ok && e.attempt >= m.Ref.Attempt {
		s.repeatEnding(m.Ref, e, out)
		return
	}
	if r := ss.requests[m.Ref.Request.Seq]; r != nil {
		if r.attempt >= m.Ref.Attempt {
			s.repeatEnqueue(r, m, out)
			return
		}
		s.abandon(r)
	}
	s.admit(ss, m, out)
}

// repeatEnding answers an Enqueue of an attempt that left the scheduler.
func (s *Scheduler) repeatEnding(ref ident.AttemptRef, e ending, out *Decisions) {
	if e.attempt != ref.Attempt {
		return
	}
	switch e.kind {
	case endRejected:
		out.Rejects = append(out.Rejects, message.Reject{
			Shard: s.opts.Shard, Ref: ref, Reason: e.reason, RetryAfterMS: retryAfterMinMS,
		})
	case endRedirected:
		out.Redirects = append(out.Redirects, message.Redirect{Shard: s.opts.Shard, Ref: ref, To: e.to})
	}
}

// repeatEnqueue answers an Enqueue of a request that the scheduler holds.
func (s *Scheduler) repeatEnqueue(r *request, m *message.Enqueue, out *Decisions) {
	if r.attempt != m.Ref.Attempt || r.state == stateQueued || r.runs {
		return
	}
	if r.backend == nil || !r.backend.accepting() {
		// The ingress has no grant, and the backend server takes no new work.
		ss := r.session
		s.abandon(r)
		s.admit(ss, m, out)
		return
	}
	if r.state == stateLost {
		s.readopt(r)
	}
	r.due = s.now + GrantTimeout
	s.emitGrant(r, out)
}

// admit queues a new attempt, or rejects it.
func (s *Scheduler) admit(ss *session, m *message.Enqueue, out *Decisions) {
	t := s.teamOf(m.Team)
	r := s.newRequest(ss, m.Ref, t)
	r.fill(m)
	r.arrival = s.now - time.Duration(m.WaitedMS)*time.Millisecond
	r.deadline = s.now + time.Duration(m.DeadlineMS)*time.Millisecond
	switch {
	case m.DeadlineMS == 0:
		s.reject(r, message.RejectDeadline, out)
	case s.configured && !s.hasCandidate(r):
		s.turnAway(r, out)
	case t.queued() >= t.maxQueued || s.crowded(t):
		s.reject(r, message.RejectQueueFull, out)
	default:
		s.restore(t, r, m.Lag)
		s.enter(r)
	}
}

// crowded says whether the shard's queue is full and the team has more than an even part of it.
func (s *Scheduler) crowded(t *team) bool {
	return s.totals.queued >= maxShardQueued && t.queued() >= maxShardQueued/max(len(s.fair), 1)
}

// enter puts a request into its team's queue.
func (s *Scheduler) enter(r *request) {
	r.state = stateQueued
	r.due = r.deadline
	s.wheel.set(r, s.now)
	t := r.team
	if r.excludes > 0 {
		r.allowed = s.allowedMask(r)
	}
	t.queueOf(r).push(r)
	s.totals.queued++
	s.reorder(t)
}

// activate brings a team with eligible work into the fair order. A team that joins is lifted.
func (s *Scheduler) activate(t *team) {
	if t.queued() == 0 || t.capped() {
		return
	}
	if t.joined || !s.handedOver(t.head()) {
		t.lift(s.liftLevel(t))
	}
	t.joined = true
	s.fair.push(t)
}

// liftLevel is the counter that a joining team is lifted to: the lowest of the backlogged teams, or that of the last
// granted team when none is backlogged.
func (s *Scheduler) liftLevel(t *team) float64 {
	if len(s.fair) > 0 {
		return s.fair[0].counter
	}
	if s.last != nil && s.last != t {
		return s.last.counter
	}
	return t.counter
}

// reorder corrects the team's place after a change of its counter, queue or limits.
func (s *Scheduler) reorder(t *team) {
	eligible := t.queued() > 0 && !t.capped()
	switch {
	case t.heapPos == notInHeap:
		s.activate(t)
	case t.class != nil && (!eligible || t.allowedBy() != t.class.allowed):
		s.unpark(t)
		s.activate(t)
	case !eligible:
		s.fair.remove(t)
	default:
		s.heapOf(t).fix(t)
	}
}

// restore takes over the lag that a former dispatcher gave the team with its last grant. It counts from the lowest counter
// at that time, which is 0 here. Since then the others caught up with the team by a part of it that is not known, half on
// average; taking all of it would set back teams with large requests at each hand-over.
func (s *Scheduler) restore(t *team, r *request, lag int64) {
	if t.grants > 0 || r.redirected {
		return
	}
	if v := float64(lag) / 2; v > t.counter {
		t.counter = v
	}
}

// handedOver says whether a request was backlogged at a former dispatcher. Its team is not lifted when it joins: it was
// backlogged there, and its lag places it among the others.
func (s *Scheduler) handedOver(r *request) bool {
	return r.arrival < s.startedAt && s.now < s.startedAt+handoverWindow && !r.redirected
}

// Cancel withdraws a queued or granted attempt that was not sent.
func (s *Scheduler) Cancel(now time.Duration, m message.Cancel, out *Decisions) {
	s.at(now)
	s.finish(m.Ref, message.SettleUnused, 0)
	s.pump(out)
}

// leave takes a request out of its queue, or releases its slot.
func (s *Scheduler) leave(r *request) {
	switch r.state {
	case stateQueued:
		s.dequeue(r)
	case stateGranted:
		s.release(r)
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

// abandon drops an attempt that a later attempt of the same request replaces.
func (s *Scheduler) abandon(r *request) {
	s.leave(r)
	s.setCharge(r, r.reported)
	s.drop(r)
}

// reject answers that the attempt leaves without a grant.
func (s *Scheduler) reject(r *request, reason message.RejectReason, out *Decisions) {
	s.leave(r)
	out.Rejects = append(out.Rejects, message.Reject{
		Shard: s.opts.Shard, Ref: r.ref(), Reason: reason, RetryAfterMS: s.retryAfter(r.team),
	})
	s.record(r.session, r.seq, ending{attempt: r.attempt, kind: endRejected, reason: reason})
	s.drop(r)
}

// retryAfter estimates when the team's queue will have room, in milliseconds.
func (s *Scheduler) retryAfter(t *team) uint32 {
	ms := s.totals.meanRunMS * float64(t.queued()) / float64(max(t.running, 1))
	return uint32(min(max(ms, retryAfterMinMS), retryAfterMaxMS))
}

// turnAway answers a request when the shard has no backend server: another shard may have one.
func (s *Scheduler) turnAway(r *request, out *Decisions) {
	if s.siblings > 1 && !r.redirected {
		s.redirect(r, s.exchange.nextSibling(s), out)
		return
	}
	s.reject(r, message.RejectNoBackend, out)
}

// turnAwayBlocked answers queued requests that no backend server is left for, by team name and in queue order.
func (s *Scheduler) turnAwayBlocked(out *Decisions) {
	for _, id := range slices.Sorted(maps.Keys(s.teams)) {
		for _, r := range s.blocked(s.teams[id]) {
			s.turnAway(r, out)
		}
	}
}

// blocked returns a team's queued requests without a candidate, earliest first.
func (s *Scheduler) blocked(t *team) []*request {
	var list []*request
	if !s.accepting() {
		list = append(list, t.free...)
	}
	for _, r := range t.bound {
		if !s.hasCandidate(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int {
		if a.earlier(b) {
			return -1
		}
		return 1
	})
	return list
}
