package dispatch

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// HandleGrant takes a grant from a dispatcher. A grant for a request that no longer waits is returned unused,
// except a repeated grant of the attempt that runs.
func (i *Ingress) HandleGrant(from ident.RouterID, m *message.Grant) {
	if !i.own(m.Ref) {
		return
	}
	t := i.table(m.Ref)
	t.mu.Lock()
	w, waiting := t.waiting[m.Ref]
	if !waiting {
		report, repeated := i.counterReport(from, m, t.running[m.Ref])
		t.mu.Unlock()
		i.answerGrant(from, m, report, repeated)
		return
	}
	a := i.accept(t, w, from, m)
	t.mu.Unlock()
	if a == nil {
		return
	}
	i.lags.set(w.work.Team, m.Shard, m.Lag)
	i.recordGrant(timeline.KindGrant, from, m, w.work.Team)
	w.result <- admission{attempt: a}
}

// accept turns a waiting request into a running attempt. It returns nil when the configuration in force does not know the
// backend server yet. The table's lock is held.
func (i *Ingress) accept(t *table, w *waiter, from ident.RouterID, m *message.Grant) *attempt {
	server, known := i.server(m.Backend)
	if !known {
		// Returned unused, the attempt would count as ended at the dispatcher, which ignores it for the 30 s in which it
		// remembers ends. Asked again, the dispatcher repeats the grant, or makes another once its configuration lacks the
		// backend server too.
		w.resendAt = time.Now().Add(askAgainDelay)
		return nil
	}
	delete(t.waiting, m.Ref)
	a := i.newAttempt(w, from, m)
	a.server = server
	t.running[m.Ref] = a
	i.backlog.leave(w.work.backlogKey())
	return a
}

// answerGrant answers a grant for a request that does not wait.
func (i *Ingress) answerGrant(from ident.RouterID, m *message.Grant, report *message.Running, repeated bool) {
	switch {
	case report != nil:
		i.send(from, report)
	case !repeated:
		i.returnGrant(from, m)
	}
}

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

// newAttempt makes the attempt of a grant. The grant's sender counts it, also when the ingress has since learnt of
// another dispatcher; the attempt is then reported there.
func (i *Ingress) newAttempt(w *waiter, from ident.RouterID, m *message.Grant) *attempt {
	granter := Owner{Router: from, Incarnation: ident.Incarnation(m.Fence)}
	return &attempt{
		ingress: i,
		work:    w.work,
		shard:   m.Shard,
		granter: granter,
		started: time.Now(),
		owner:   granter,
	}
}

// counterReport decides about a grant of an attempt that runs. It reports whether it is the grant that the attempt runs
// under. The dispatcher that counts the shard is told what runs instead of its grant; returned unused, the attempt would
// count as ended there. The table's lock is held.
func (i *Ingress) counterReport(from ident.RouterID, m *message.Grant, running *attempt) (report *message.Running, repeated bool) {
	if running == nil || running.shard != m.Shard {
		return nil, false
	}
	granter := Owner{Router: from, Incarnation: ident.Incarnation(m.Fence)}
	if granter == running.granter && string(m.Backend) == running.server.Name {
		return nil, true
	}
	owner, ok := i.routes.Load().owner(m.Shard)
	if !ok || owner.Router != from {
		return nil, false
	}
	running.owner = owner
	return running.report(), false
}

// returnGrant settles a late grant as unused.
func (i *Ingress) returnGrant(from ident.RouterID, m *message.Grant) {
	i.recordGrant(timeline.KindGrantUnused, from, m, "")
	i.send(from, &message.Settle{Shard: m.Shard, Ref: m.Ref, Result: message.SettleUnused})
}

// answered calls act under the table's lock if the request still waits for an answer of this dispatcher.
func (i *Ingress) answered(from ident.RouterID, shard ident.ShardID, ref ident.AttemptRef, act func(t *table, w *waiter)) {
	if !i.own(ref) {
		return
	}
	t := i.table(ref)
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.waiting[ref]
	if ok && w.owner.Router == from && w.shard == shard {
		act(t, w)
	}
}

// HandleReject takes a refusal. A dispatcher that is not the owner is asked again after a delay, by then with a
// newer view on one of the two sides.
func (i *Ingress) HandleReject(from ident.RouterID, m *message.Reject) {
	var rejected *waiter
	i.answered(from, m.Shard, m.Ref, func(t *table, w *waiter) {
		if m.Reason == message.RejectNotOwner {
			w.resendAt = time.Now().Add(askAgainDelay)
			return
		}
		delete(t.waiting, m.Ref)
		i.backlog.leave(w.work.backlogKey())
		rejected = w
	})
	if rejected == nil {
		return
	}
	i.count.Add(-1)
	i.record(timeline.KindReject, rejected, from, m.Reason.String())
	rejected.result <- admission{err: &NotAdmittedError{
		Reason:     rejectReasons[m.Reason],
		RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
	}}
}

// rejectReasons maps a dispatcher's reason to the caller's.
var rejectReasons = map[message.RejectReason]NotAdmittedReason{
	message.RejectQueueFull: NotAdmittedQueueFull,
	message.RejectDeadline:  NotAdmittedDeadline,
	message.RejectNoBackend: NotAdmittedNoBackend,
}

// HandleRedirect moves a waiting request to another shard of its pool.
func (i *Ingress) HandleRedirect(from ident.RouterID, m *message.Redirect) {
	var moved *waiter
	var enqueue *message.Enqueue
	var to ident.RouterID
	i.answered(from, m.Shard, m.Ref, func(_ *table, w *waiter) {
		w.shard.Index = m.To
		w.redirect = true
		enqueue, to = i.prepareEnqueue(w, i.routes.Load(), time.Now())
		moved = w
	})
	if moved == nil {
		return
	}
	i.record(timeline.KindRedirect, moved, to, "")
	i.sendEnqueue(to, enqueue)
}

// own reports whether a reference belongs to this process. Messages for an earlier process of the same router are
// late and have no effect.
func (i *Ingress) own(ref ident.AttemptRef) bool {
	return ref.Request.Router == i.opts.Self && ref.Request.Incarnation == i.opts.Incarnation
}
