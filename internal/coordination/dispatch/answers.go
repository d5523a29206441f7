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
	running := t.running[m.Ref]
	if !waiting {
		report, repeated := i.counterReport(from, m, running)
		t.mu.Unlock()
		switch {
		case report != nil:
			i.send(from, report)
		case !repeated:
			i.returnGrant(from, m)
		}
		return
	}
	server, known := i.server(m.Backend)
	if !known {
		// Returned unused, the attempt would count as ended at the dispatcher, which ignores it for the 30 s in which it
		// remembers ends. Asked again, the dispatcher repeats the grant, or makes another once its configuration lacks the
		// backend server too.
		w.resendAt = time.Now().Add(askAgainDelay)
		t.mu.Unlock()
		return
	}
	delete(t.waiting, m.Ref)
	a := i.newAttempt(w, from, m)
	a.server = server
	t.running[m.Ref] = a
	t.mu.Unlock()
	i.lags.set(w.work.Team, m.Shard, m.Lag)
	i.opts.Events.Add(timeline.Event{
		Kind:       timeline.KindGrant,
		Request:    m.Ref.Request.String(),
		Attempt:    m.Ref.Attempt,
		Team:       w.work.Team,
		Shard:      m.Shard.String(),
		Backend:    m.Backend,
		Peer:       from,
		Generation: m.Generation,
	})
	w.result <- admission{attempt: a}
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
	i.opts.Events.Add(timeline.Event{
		Kind:    timeline.KindGrantUnused,
		Request: m.Ref.Request.String(),
		Attempt: m.Ref.Attempt,
		Shard:   m.Shard.String(),
		Backend: m.Backend,
		Peer:    from,
	})
	i.send(from, &message.Settle{Shard: m.Shard, Ref: m.Ref, Result: message.SettleUnused})
}

// HandleReject takes a refusal. A dispatcher that is not the owner is asked again after a delay, by then with a
// newer view on one of the two sides.
func (i *Ingress) HandleReject(from ident.RouterID, m *message.Reject) {
	if !i.own(m.Ref) {
		return
	}
	t := i.table(m.Ref)
	t.mu.Lock()
	w, ok := t.waiting[m.Ref]
	if !ok || w.owner.Router != from || w.shard != m.Shard {
		t.mu.Unlock()
		return
	}
	if m.Reason == message.RejectNotOwner {
		w.resendAt = time.Now().Add(askAgainDelay)
		t.mu.Unlock()
		return
	}
	delete(t.waiting, m.Ref)
	t.mu.Unlock()
	i.count.Add(-1)
	i.record(timeline.KindReject, w, from, m.Reason.String())
	w.result <- admission{err: &NotAdmittedError{
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
	if !i.own(m.Ref) {
		return
	}
	t := i.table(m.Ref)
	t.mu.Lock()
	w, ok := t.waiting[m.Ref]
	if !ok || w.owner.Router != from || w.shard != m.Shard {
		t.mu.Unlock()
		return
	}
	w.shard.Index = m.To
	w.redirect = true
	enqueue, to := i.prepareEnqueue(w, i.routes.Load(), time.Now())
	t.mu.Unlock()
	i.record(timeline.KindRedirect, w, to, "")
	i.sendEnqueue(to, enqueue)
}

// own reports whether a reference belongs to this process. Messages for an earlier process of the same router are
// late and have no effect.
func (i *Ingress) own(ref ident.AttemptRef) bool {
	return ref.Request.Router == i.opts.Self && ref.Request.Incarnation == i.opts.Incarnation
}
