package dispatch

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// HandleGrant handles a grant from a dispatcher. A grant for a request that is no longer waiting is returned unused. It
// is ignored if it repeats the grant under which the attempt is running, and answered with a report of the running
// attempt if the current owner of the shard granted the attempt a second time.
func (i *Ingress) HandleGrant(from ident.RouterID, m *message.Grant) {
	if !i.isOwn(m.Ref) {
		return
	}
	t := i.table(m.Ref)
	t.mu.Lock()
	w, waiting := t.waiting[m.Ref]
	if !waiting {
		report, repeated := i.checkDuplicateGrant(from, m, t.running[m.Ref])
		t.mu.Unlock()
		i.answerGrant(from, m, report, repeated)
		return
	}
	a := i.startAttempt(t, w, from, m)
	t.mu.Unlock()
	if a == nil {
		return
	}
	i.lags.set(w.work.Team, m.Shard, m.Lag)
	i.recordGrant(timeline.KindGrant, from, m, w.work.Team)
	w.result <- admission{attempt: a}
}

// startAttempt turns a waiting request into a running attempt. It returns nil if the current routes do not contain the
// backend server yet. The caller holds the table's lock.
func (i *Ingress) startAttempt(t *requestTable, w *waiter, from ident.RouterID, m *message.Grant) *attempt {
	server, known := i.server(m.Backend)
	if !known {
		// If the grant were returned unused, the dispatcher would record the attempt as ended and ignore it for 30 s, the
		// time for which it remembers ended attempts. If the request is enqueued again instead, the dispatcher repeats the
		// grant, or grants another backend server once its own configuration no longer contains this one.
		w.resendAt = time.Now().Add(resendDelay)
		return nil
	}
	delete(t.waiting, m.Ref)
	a := i.newAttempt(w, from, m)
	a.server = server
	t.running[m.Ref] = a
	i.backlog.remove(w.work.backlogKey())
	return a
}

// answerGrant answers a grant for a request that is not waiting.
func (i *Ingress) answerGrant(from ident.RouterID, m *message.Grant, report *message.Running, repeated bool) {
	switch {
	case report != nil:
		i.send(from, report)
	case !repeated:
		i.returnGrant(from, m)
	}
}

// recordGrant adds a grant to the timeline.
func (i *Ingress) recordGrant(kind timeline.Kind, from ident.RouterID, m *message.Grant, team ident.TeamID) {
	i.opts.Events.Add(timeline.Event{
		Kind:       kind,
		Request:    m.Ref.Request.String(),
		Attempt:    m.Ref.Attempt,
		Team:       team,
		Shard:      m.Shard.String(),
		Backend:    m.Backend,
		Peer:       from,
		Generation: m.Generation,
	})
}

// newAttempt returns the attempt for a grant. Its owner is the sender of the grant, which counts the attempt, even if
// the ingress has learnt of another dispatcher since; resendMissed then reports the attempt to that dispatcher.
func (i *Ingress) newAttempt(w *waiter, from ident.RouterID, m *message.Grant) *attempt {
	grantedBy := Owner{Router: from, Incarnation: ident.Incarnation(m.Fence)}
	return &attempt{
		ingress:   i,
		work:      w.work,
		shard:     m.Shard,
		grantedBy: grantedBy,
		started:   time.Now(),
		owner:     grantedBy,
	}
}

// checkDuplicateGrant handles a grant for an attempt that is already running. repeated is true if the grant repeats the
// one under which the attempt is running. If another grant comes from the current owner of the shard, the owner must be
// told with report which attempt is running: if the grant were returned unused, the owner would record the attempt as
// ended. Otherwise both results are zero. The caller holds the table's lock.
func (i *Ingress) checkDuplicateGrant(
	from ident.RouterID, m *message.Grant, running *attempt,
) (report *message.Running, repeated bool) {
	if running == nil || running.shard != m.Shard {
		return nil, false
	}
	grantedBy := Owner{Router: from, Incarnation: ident.Incarnation(m.Fence)}
	if grantedBy == running.grantedBy && string(m.Backend) == running.server.Name {
		return nil, true
	}
	owner, ok := i.routes.Load().owner(m.Shard)
	if !ok || owner.Router != from {
		return nil, false
	}
	running.owner = owner
	return running.report(), false
}

// returnGrant settles a grant that arrived too late as unused.
func (i *Ingress) returnGrant(from ident.RouterID, m *message.Grant) {
	i.recordGrant(timeline.KindGrantUnused, from, m, "")
	i.send(from, &message.Settle{Shard: m.Shard, Ref: m.Ref, Result: message.SettleUnused})
}

// withWaiter calls update with the table locked if the request is still waiting for an answer from this dispatcher.
func (i *Ingress) withWaiter(
	from ident.RouterID, shard ident.ShardID, ref ident.AttemptRef, update func(t *requestTable, w *waiter),
) {
	if !i.isOwn(ref) {
		return
	}
	t := i.table(ref)
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.waiting[ref]
	if ok && w.owner.Router == from && w.shard == shard {
		update(t, w)
	}
}

// HandleReject handles the rejection of a waiting request. If the dispatcher rejected it because it does not own the
// shard, the request is enqueued again after a delay, by which time one of the two routers should have a newer view.
func (i *Ingress) HandleReject(from ident.RouterID, m *message.Reject) {
	var rejected *waiter
	i.withWaiter(from, m.Shard, m.Ref, func(t *requestTable, w *waiter) {
		if m.Reason == message.RejectNotOwner {
			w.resendAt = time.Now().Add(resendDelay)
			return
		}
		delete(t.waiting, m.Ref)
		i.backlog.remove(w.work.backlogKey())
		rejected = w
	})
	if rejected == nil {
		return
	}
	i.active.Add(-1)
	i.recordWaiter(timeline.KindReject, rejected, from, m.Reason.String())
	rejected.result <- admission{err: &NotAdmittedError{
		Reason:     rejectReasons[m.Reason],
		RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
	}}
}

// rejectReasons maps the reason of a dispatcher's rejection to the reason returned to the caller.
var rejectReasons = map[message.RejectReason]NotAdmittedReason{
	message.RejectQueueFull: NotAdmittedQueueFull,
	message.RejectDeadline:  NotAdmittedDeadline,
	message.RejectNoBackend: NotAdmittedNoBackend,
}

// HandleRedirect moves a waiting request to another shard of its pool and enqueues it there.
func (i *Ingress) HandleRedirect(from ident.RouterID, m *message.Redirect) {
	var moved *waiter
	var enqueue *message.Enqueue
	var to ident.RouterID
	i.withWaiter(from, m.Shard, m.Ref, func(_ *requestTable, w *waiter) {
		w.shard.Index = m.To
		w.redirected = true
		enqueue, to = i.prepareEnqueue(w, i.routes.Load(), time.Now())
		moved = w
	})
	if moved == nil {
		return
	}
	i.recordWaiter(timeline.KindRedirect, moved, to, "")
	i.sendEnqueue(to, enqueue)
}

// isOwn reports whether a reference was issued by this process. Late messages for an earlier process of the same router
// are ignored.
func (i *Ingress) isOwn(ref ident.AttemptRef) bool {
	return ref.Request.Router == i.opts.Self && ref.Request.Incarnation == i.opts.Incarnation
}
