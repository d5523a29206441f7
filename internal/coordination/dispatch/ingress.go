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
	// progressPeriod is how often running attempts are reported to other routers.
	progressPeriod = 2 * time.Second
	// localProgressPeriod is how often running attempts are reported to the dispatcher of the same process, which costs
	// no traffic.
	localProgressPeriod = 200 * time.Millisecond
	// resendPeriod is how often a waiting request is enqueued again in case a message was lost without a link event.
	resendPeriod = 10 * time.Second
	// askAgainDelay is the wait before a request is enqueued again after its dispatcher said that it is not the owner, or
	// granted a backend server that this router does not know yet.
	askAgainDelay = 200 * time.Millisecond
	// notServingRetry tells callers when to come back to a router that does not serve.
	notServingRetry = 2 * time.Second
	// deadlineRetry tells callers when to come back after their deadline passed in the queue.
	deadlineRetry = time.Second
	// tableShards spreads the tables of requests over several locks.
	tableShards = 16
)

// Sender passes messages to other routers. It does not block; messages may be lost.
type Sender interface {
	Send(to ident.RouterID, m message.Message)
}

// IngressOptions configures an Ingress.
type IngressOptions struct {
	Self        ident.RouterID
	Incarnation ident.Incarnation
	Domain      ident.DomainID
	Sender      Sender
	Events      *timeline.Ring
	// Serving reports whether new requests may be taken.
	Serving func() bool
}

// Ingress keeps the requests of this router's callers until they are granted and settled. It is safe for
// concurrent use.
type Ingress struct {
	opts   IngressOptions
	seq    atomic.Uint64
	routes atomic.Pointer[Routes]
	// servers are the backend servers that grants may name.
	servers atomic.Pointer[map[ident.BackendID]*object.BackendServer]
	tables  [tableShards]table
	lags    lagTable
	// backlog tells which teams have waiting requests here.
	backlog backlogTable
	count   atomic.Int64
}

// table holds the requests of one lock.
type table struct {
	mu      sync.Mutex
	waiting map[ident.AttemptRef]*waiter
	running map[ident.AttemptRef]*attempt
}

// waiter is a request that waits for a grant.
type waiter struct {
	work     Work
	shard    ident.ShardID
	owner    Owner
	since    time.Time
	redirect bool
	// resendAt is when the request is enqueued again unless it was granted.
	resendAt time.Time
	result   chan admission
}

// admission is the end of a wait.
type admission struct {
	attempt *attempt
	err     *NotAdmittedError
}

// NewIngress returns an ingress without routes. It admits nothing before the first Update.
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

// NewRequest returns a reference for a new request.
func (i *Ingress) NewRequest() ident.RequestRef {
	return ident.RequestRef{
		Router:      i.opts.Self,
		Incarnation: i.opts.Incarnation,
		Seq:         i.seq.Add(1),
	}
}

// Active returns the number of requests that wait or run.
func (i *Ingress) Active() int { return int(i.count.Load()) }

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

func (a admission) unpack() (Attempt, error) {
	if a.err != nil {
		return nil, a.err
	}
	return a.attempt, nil
}

// register adds a waiter and enqueues it at the dispatcher.
func (i *Ingress) register(w Work) (*waiter, error) {
	routes := i.routes.Load()
	if routes == nil || !i.opts.Serving() {
		return nil, &NotAdmittedError{Reason: NotAdmittedNotServing, RetryAfter: notServingRetry}
	}
	pool, ok := routes.Pools[w.Pool]
	if !ok || len(pool.Owners) == 0 {
		return nil, &NotAdmittedError{Reason: NotAdmittedNoBackend, RetryAfter: notServingRetry}
	}
	now := time.Now()
	if !now.Before(w.Deadline) {
		return nil, &NotAdmittedError{Reason: NotAdmittedDeadline, RetryAfter: deadlineRetry}
	}
	waiter := &waiter{
		work:   w,
		shard:  i.chooseShard(w, pool, i.backlog.enter(w.backlogKey())),
		since:  now,
		result: make(chan admission, 1),
	}
	t := i.table(w.Ref)
	t.mu.Lock()
	t.waiting[w.Ref] = waiter
	enqueue, to := i.prepareEnqueue(waiter, routes, now)
	t.mu.Unlock()
	i.count.Add(1)
	i.record(timeline.KindEnqueue, waiter, to, "")
	i.sendEnqueue(to, enqueue)
	return waiter, nil
}

// setServers makes the backend servers of new routes known before the dispatcher of this process grants them.
func (i *Ingress) setServers(routes *Routes) { i.servers.Store(&routes.Servers) }

func (i *Ingress) server(id ident.BackendID) (*object.BackendServer, bool) {
	servers := i.servers.Load()
	if servers == nil {
		return nil, false
	}
	server, ok := (*servers)[id]
	return server, ok
}

// chooseShard prefers a shard that this router dispatches itself, since that needs no message between routers. The
// requests of a team that is backlogged are spread over all shards by their number: the service gap of two teams is
// bounded only when both are backlogged at the same shards. Redirects correct an uneven spread.
func (i *Ingress) chooseShard(w Work, pool *Pool, backlogged bool) ident.ShardID {
	id := ident.ShardID{Pool: w.Pool}
	n := uint64(len(pool.Owners))
	start := w.Ref.Request.Seq
	id.Index = uint16(start % n)
	if backlogged {
		return id
	}
	for k := range n {
		index := (start + k) % n
		if pool.Owners[index].Router == i.opts.Self {
			id.Index = uint16(index)
			return id
		}
	}
	return id
}

// withdraw removes a waiter before its answer goes out. A grant that came first is returned unused.
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
		return nil, &NotAdmittedError{Reason: reason, RetryAfter: deadlineRetry}
	}
	i.count.Add(-1)
	i.backlog.leave(w.work.backlogKey())
	i.send(owner, &message.Cancel{Shard: w.shard, Ref: w.work.Ref})
	return nil, &NotAdmittedError{Reason: reason, RetryAfter: deadlineRetry}
}

// table returns the table of an attempt.
func (i *Ingress) table(ref ident.AttemptRef) *table {
	return &i.tables[ref.Request.Seq%tableShards]
}

// prepareEnqueue makes the message for a waiter and notes where it goes. The table's lock is held.
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
		Redirected: w.redirect,
	}, owner.Router
}

// sendEnqueue sends a prepared message. A waiter without a dispatcher has none.
func (i *Ingress) sendEnqueue(to ident.RouterID, m *message.Enqueue) {
	if m != nil {
		i.send(to, m)
	}
}

func (i *Ingress) send(to ident.RouterID, m message.Message) {
	if to != "" {
		i.opts.Sender.Send(to, m)
	}
}

func (i *Ingress) record(kind timeline.Kind, w *waiter, peer ident.RouterID, detail string) {
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
