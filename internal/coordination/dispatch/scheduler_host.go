package dispatch

import (
	"context"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/coordination/scheduler"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// maxHeld is the maximum number of messages that a shard holds during a takeover. Further messages are dropped; the
// ingress routers enqueue their requests again.
const maxHeld = 65536

// schedulerHost runs the scheduler of one shard.
type schedulerHost struct {
	mu    sync.Mutex
	sched *scheduler.Scheduler
	// now returns the current time of the scheduler's clock.
	now func() time.Duration
	// apply runs an event on the scheduler and sends the resulting decisions.
	apply func(func(*scheduler.Scheduler, *scheduler.Decisions))
	// firstGrantAt is the time before which the scheduler makes no grants.
	firstGrantAt time.Duration
	// held lists the messages received during the takeover, in the order of their arrival.
	held []heldMessage

	// subscriptions holds the subscription to each model engine, by the name of its backend server.
	subscriptions map[string]subscription
}

// heldMessage is a message held until the end of the takeover, and the time of its arrival.
type heldMessage struct {
	receivedAt time.Duration
	m          message.Message
}

// subscription is an active subscription to the load reports and cache events of an engine.
type subscription struct {
	address string
	cancel  context.CancelFunc
}

// newSchedulerHost returns a host with a new scheduler for a shard. If this router is the only live one, the scheduler
// may grant immediately, because there are no other routers whose reports it must wait for.
func (d *Dispatcher) newSchedulerHost(shard Shard, routes *Routes) *schedulerHost {
	h := &schedulerHost{
		sched: scheduler.New(scheduler.Options{
			Shard:      shard.ID,
			Siblings:   shard.Siblings,
			Epoch:      uint64(d.opts.Incarnation),
			Generation: routes.Generation,
			Seed:       uint64(d.opts.Incarnation),

			DeltaSeqBase: d.schedulersStarted[shard.ID] * deltasPerScheduler,
		}),
		now:           d.now,
		subscriptions: make(map[string]subscription),
	}
	d.schedulersStarted[shard.ID]++
	h.apply = func(f func(*scheduler.Scheduler, *scheduler.Decisions)) { d.apply(h, f) }
	if len(routes.Live) > 1 {
		h.firstGrantAt = d.now() + takeoverDelay
	}
	return h
}

// hold holds an Enqueue or a Cancel during the takeover and reports whether it did so. Messages that arrive after the
// takeover while earlier ones are still held are held too, to preserve their order.
func (h *schedulerHost) hold(m message.Message, now time.Duration) bool {
	switch m.(type) {
	case *message.Enqueue, *message.Cancel:
	default:
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now >= h.firstGrantAt && len(h.held) == 0 {
		return false
	}
	if len(h.held) < maxHeld {
		h.held = append(h.held, heldMessage{receivedAt: now, m: m})
	}
	return true
}

// release passes the held messages to the scheduler once the takeover is over. The scheduler gets all requests before
// it grants any, so that the first slots are granted in fair order and not to the router whose messages arrived first.
// It gets cancellations before the requests, so that it grants nothing to cancelled requests. The caller holds the
// lock.
func (h *schedulerHost) release(now time.Duration, out *scheduler.Decisions) {
	if now < h.firstGrantAt || len(h.held) == 0 {
		return
	}
	var requests []message.Enqueue
	for _, held := range h.held {
		switch m := held.m.(type) {
		case *message.Cancel:
			h.sched.Cancel(now, *m, out)
		case *message.Enqueue:
			requests = append(requests, withHeldTime(*m, now-held.receivedAt))
		}
	}
	h.held = nil
	h.sched.EnqueueAll(now, requests, out)
}

// withHeldTime returns the request with the time that it was held added to its waiting time and subtracted from its
// remaining time. Otherwise requests that arrived early would seem to have waited less than those that arrived late.
func withHeldTime(m message.Enqueue, held time.Duration) message.Enqueue {
	ms := uint32(held.Milliseconds())
	m.WaitedMS += ms
	m.DeadlineMS -= min(ms, m.DeadlineMS)
	return m
}

// subscribe keeps exactly one subscription to each model engine of the shard and cancels all others.
func (h *schedulerHost) subscribe(source LoadSource, servers []*object.BackendServer) {
	if source == nil {
		return
	}
	wanted := make(map[string]bool, len(servers))
	for _, server := range servers {
		if server.Kind != object.BackendModelEngine {
			continue
		}
		wanted[server.Name] = true
		h.ensureSubscription(source, server)
	}
	for name, s := range h.subscriptions {
		if !wanted[name] {
			s.cancel()
			delete(h.subscriptions, name)
		}
	}
}

// ensureSubscription subscribes to a model engine unless there is a subscription to its current address.
func (h *schedulerHost) ensureSubscription(source LoadSource, server *object.BackendServer) {
	current, ok := h.subscriptions[server.Name]
	if ok && current.address == server.Address {
		return
	}
	if ok {
		current.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.subscriptions[server.Name] = subscription{address: server.Address, cancel: cancel}
	go func() {
		// Subscribe reconnects by itself and returns only when the context ends, with the context's error.
		_ = source.Subscribe(ctx, server, h.onLoad, h.onCache)
	}()
}

func (h *schedulerHost) onLoad(r scheduler.LoadReport) {
	h.apply(func(s *scheduler.Scheduler, out *scheduler.Decisions) { s.ReportLoad(h.now(), r, out) })
}

func (h *schedulerHost) onCache(e scheduler.CacheEvent) {
	h.apply(func(s *scheduler.Scheduler, _ *scheduler.Decisions) { s.UpdateCache(h.now(), e) })
}

// stop cancels the subscriptions.
func (h *schedulerHost) stop() {
	for name, s := range h.subscriptions {
		s.cancel()
		delete(h.subscriptions, name)
	}
}

var decisionPool = sync.Pool{New: func() any { return new(scheduler.Decisions) }}

// apply runs an event on a host's scheduler and sends the resulting decisions after releasing the host's lock.
func (d *Dispatcher) apply(h *schedulerHost, event func(*scheduler.Scheduler, *scheduler.Decisions)) {
	out := decisionPool.Get().(*scheduler.Decisions)
	out.Reset()
	h.mu.Lock()
	event(h.sched, out)
	h.mu.Unlock()
	d.sendDecisions(out)
	decisionPool.Put(out)
}

// sendDecisions sends each decision to the router that it is for. It sends copies of the messages, because the memory
// of the decisions is reused.
func (d *Dispatcher) sendDecisions(out *scheduler.Decisions) {
	for _, m := range out.Grants {
		d.opts.Sender.Send(m.Ref.Request.Router, &m)
	}
	for _, m := range out.Rejects {
		d.opts.Sender.Send(m.Ref.Request.Router, &m)
	}
	for _, m := range out.Redirects {
		d.opts.Sender.Send(m.Ref.Request.Router, &m)
	}
	for _, m := range out.Deltas {
		d.sendSibling(m.Shard.Pool, m.To, &m)
	}
	for _, m := range out.FreeSlots {
		d.sendSibling(m.Shard.Pool, m.To, &m)
	}
}

// sendSibling sends a message to the dispatcher of another shard of the pool.
func (d *Dispatcher) sendSibling(pool ident.PoolID, index uint16, m message.Message) {
	owner, ok := d.routes.Load().owner(ident.ShardID{Pool: pool, Index: index})
	if ok {
		d.opts.Sender.Send(owner.Router, m)
	}
}
