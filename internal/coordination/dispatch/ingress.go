package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

const (
	// progressPeriod is the period of progress reports to other routers.
	progressPeriod = 2 * time.Second
	// localProgressPeriod is the period of progress reports to the dispatcher of the same process, which cause no network
	// traffic.
	localProgressPeriod = 200 * time.Millisecond
	// resendPeriod is the period at which a waiting request is enqueued again in case a message was lost without a link
	// event.
	resendPeriod = 10 * time.Second
	// resendDelay is the delay before a request is enqueued again after its dispatcher rejected it as not the owner, or
	// granted a backend server that this router does not know yet.
	resendDelay = 200 * time.Millisecond
	// notServingRetryAfter is the Retry-After for callers when the router accepts no requests or the pool has no shards.
	notServingRetryAfter = 2 * time.Second
	// deadlineRetryAfter is the Retry-After for callers whose request was withdrawn or whose deadline has passed.
	deadlineRetryAfter = time.Second
	// tableCount is the number of tables that the requests are divided into, to reduce lock contention.
	tableCount = 16
)

// Sender sends messages to routers.
type Sender interface {
	// Send sends a message to a router. It does not block; the message may be lost.
	Send(to ident.RouterID, m message.Message)
}

// IngressOptions configures an Ingress.
type IngressOptions struct {
	Self        ident.RouterID
	Incarnation ident.Incarnation
	Domain      ident.DomainID
	Sender      Sender
	Events      *timeline.Ring
	// Serving reports whether the router accepts new requests.
	Serving func() bool
}

// Ingress tracks the requests of this router's callers from the time they are queued until they are settled. It is safe
// for concurrent use.
type Ingress struct {
	opts   IngressOptions
	seq    atomic.Uint64
	routes atomic.Pointer[Routes]
	// servers holds the backend servers of the current routes, by ID.
	servers atomic.Pointer[map[ident.BackendID]*object.BackendServer]
	tables  [tableCount]requestTable
	lags    lagTable
	// backlog counts the waiting requests of each team at this router.
	backlog backlogTable
	// active is the number of requests that are waiting or running.
	active atomic.Int64
}

// requestTable holds the waiting and running requests that share a lock.
type requestTable struct {
	mu      sync.Mutex
	waiting map[ident.AttemptRef]*waiter
	running map[ident.AttemptRef]*attempt
}

// waiter is a request that is waiting for a grant.
type waiter struct {
	work  Work
	shard ident.ShardID
	// owner is the dispatcher at which the request was enqueued last.
	owner Owner
	// since is when the request was registered.
	since time.Time
	// redirected reports whether a dispatcher has moved the request to another shard.
	redirected bool
	// resendAt is when the request is enqueued again unless it was granted.
	resendAt time.Time
	result   chan admission
}

// admission is the result of waiting for a grant: an attempt or an error.
type admission struct {
	attempt *attempt
	err     *NotAdmittedError
}

// NewIngress returns an ingress without routes. It admits no requests until the first Update.
func NewIngress(opts IngressOptions) *Ingress {
	i := &Ingress{opts: opts}
	for n := range i.tables {
		i.tables[n].waiting = make(map[ident.AttemptRef]*waiter)
		i.tables[n].running = make(map[ident.AttemptRef]*attempt)
	}
	i.lags.byTeam = make(map[lagKey]int64)
	i.backlog.waiting = make(map[backlogKey]int)
	return i
}

// NewRequest returns a unique reference for a new request.
func (i *Ingress) NewRequest() ident.RequestRef {
	return ident.RequestRef{
		Router:      i.opts.Self,
		Incarnation: i.opts.Incarnation,
		Seq:         i.seq.Add(1),
	}
}

// Active returns the number of requests that are waiting or running.
func (i *Ingress) Active() int { return int(i.active.Load()) }

// Admit implements Admitter.
func (i *Ingress) Admit(ctx context.Context, w Work) (Attempt, error) {
	waiter, err := i.register(w)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Until(w.Deadline))
	defer timer.Stop()
	select {
	case result := <-waiter.result:
		return result.unpack()
	case <-ctx.Done():
		return i.withdraw(waiter, NotAdmittedCancelled)
	case <-timer.C:
		return i.withdraw(waiter, NotAdmittedDeadline)
	}
}

// unpack returns the attempt or the error.
func (a admission) unpack() (Attempt, error) {
	if a.err != nil {
		return nil, a.err
	}
	return a.attempt, nil
}

// register adds a waiter to its table and enqueues it at the shard's dispatcher.
func (i *Ingress) register(w Work) (*waiter, error) {
	routes := i.routes.Load()
	if routes == nil || !i.opts.Serving() {
		return nil, &NotAdmittedError{Reason: NotAdmittedNotServing, RetryAfter: notServingRetryAfter}
	}
	pool, ok := routes.Pools[w.Pool]
	if !ok || len(pool.Owners) == 0 {
		return nil, &NotAdmittedError{Reason: NotAdmittedNoBackend, RetryAfter: notServingRetryAfter}
	}
	now := time.Now()
	if !now.Before(w.Deadline) {
		return nil, &NotAdmittedError{Reason: NotAdmittedDeadline, RetryAfter: deadlineRetryAfter}
	}
	waiter := &waiter{
		work:   w,
		shard:  i.chooseShard(w, pool, i.backlog.add(w.backlogKey())),
		since:  now,
		result: make(chan admission, 1),
	}
	t := i.table(w.Ref)
	t.mu.Lock()
	t.waiting[w.Ref] = waiter
	enqueue, to := i.prepareEnqueue(waiter, routes, now)
	t.mu.Unlock()
	i.active.Add(1)
	i.recordWaiter(timeline.KindEnqueue, waiter, to, "")
	i.sendEnqueue(to, enqueue)
	return waiter, nil
}

// setServers sets the backend servers of new routes. It is called before the dispatcher of this process can grant them.
func (i *Ingress) setServers(routes *Routes) { i.servers.Store(&routes.Servers) }

// server returns the backend server with an ID, if the current routes contain it.
func (i *Ingress) server(id ident.BackendID) (*object.BackendServer, bool) {
	servers := i.servers.Load()
	if servers == nil {
		return nil, false
	}
	server, ok := (*servers)[id]
	return server, ok
}

// chooseShard chooses the shard for a request. It prefers a shard that this router owns, because that requires no
// message between routers. The requests of a backlogged team are distributed over all shards by their sequence numbers,
// because the service gap between two teams is bounded only if both are backlogged at the same shards. Redirects
// correct an uneven distribution.
func (i *Ingress) chooseShard(w Work, pool *Pool, backlogged bool) ident.ShardID {
	id := ident.ShardID{Pool: w.Pool}
	n := uint64(len(pool.Owners))
	start := w.Ref.Request.Seq
	id.Index = uint16(start % n)
	if backlogged {
		return id
	}
	for offset := range n {
		index := (start + offset) % n
		if pool.Owners[index].Router == i.opts.Self {
			id.Index = uint16(index)
			return id
		}
	}
	return id
}

// withdraw removes a waiter from its table and cancels it at the dispatcher, before the caller gets its answer. If a
// grant arrived first, withdraw settles it as unused.
func (i *Ingress) withdraw(w *waiter, reason NotAdmittedReason) (Attempt, error) {
	t := i.table(w.work.Ref)
	t.mu.Lock()
	_, waiting := t.waiting[w.work.Ref]
	delete(t.waiting, w.work.Ref)
	owner := w.owner.Router
	t.mu.Unlock()
	if !waiting {
		result := <-w.result
		if result.attempt != nil {
			result.attempt.Settle(message.SettleUnused, 0)
		}
		return nil, &NotAdmittedError{Reason: reason, RetryAfter: deadlineRetryAfter}
	}
	i.active.Add(-1)
	i.backlog.remove(w.work.backlogKey())
	i.send(owner, &message.Cancel{Shard: w.shard, Ref: w.work.Ref})
	return nil, &NotAdmittedError{Reason: reason, RetryAfter: deadlineRetryAfter}
}

// table returns the table that holds an attempt.
func (i *Ingress) table(ref ident.AttemptRef) *requestTable {
	return &i.tables[ref.Request.Seq%tableCount]
}

// prepareEnqueue returns the Enqueue for a waiter and its receiver, and records the receiver as the waiter's owner. The
// Enqueue is nil if the shard has no dispatcher. The caller holds the table's lock.
func (i *Ingress) prepareEnqueue(w *waiter, routes *Routes, now time.Time) (*message.Enqueue, ident.RouterID) {
	owner, ok := routes.owner(w.shard)
	if !ok {
		w.owner = Owner{}
		return nil, ""
	}
	w.owner = owner
	w.resendAt = now.Add(resendPeriod)
	return &message.Enqueue{
		Shard:      w.shard,
		Ref:        w.work.Ref,
		Team:       w.work.Team,
		Hint:       w.work.Hint,
		DeadlineMS: uint32(max(w.work.Deadline.Sub(now).Milliseconds(), 1)),
		Prefix:     w.work.Prefix,
		Domain:     i.opts.Domain,
		Exclude:    w.work.Exclude,
		Lag:        i.lags.get(w.work.Team, w.shard),
		WaitedMS:   uint32(now.Sub(w.since).Milliseconds()),
		Redirected: w.redirected,
	}, owner.Router
}

// sendEnqueue sends a message made by prepareEnqueue, which is nil if the shard has no dispatcher.
func (i *Ingress) sendEnqueue(to ident.RouterID, m *message.Enqueue) {
	if m != nil {
		i.send(to, m)
	}
}

// send sends a message unless there is no receiver.
func (i *Ingress) send(to ident.RouterID, m message.Message) {
	if to != "" {
		i.opts.Sender.Send(to, m)
	}
}

// recordWaiter adds an event of a waiting request to the timeline.
func (i *Ingress) recordWaiter(kind timeline.Kind, w *waiter, peer ident.RouterID, detail string) {
	i.opts.Events.Add(timeline.Event{
		Kind:    kind,
		Request: w.work.Ref.Request.String(),
		Attempt: w.work.Ref.Attempt,
		Team:    w.work.Team,
		Shard:   w.shard.String(),
		Peer:    peer,
		Detail:  detail,
	})
}
