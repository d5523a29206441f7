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

// maxHeld bounds the requests held back during a takeover. Further ones are dropped; their ingress routers enqueue
// them again.
const maxHeld = 65536

// host runs the scheduler of one shard.
type host struct {
	mu    sync.Mutex
	sched *scheduler.Scheduler
	// now returns the scheduler's time.
	now func() time.Duration
	// feed takes decisions that load reports cause.
	feed func(func(*scheduler.Scheduler, *scheduler.Decisions))
	// grantFrom is when the first grant may be made.
	grantFrom time.Duration
	held      []heldMessage

	subscriptions map[string]subscription
}

// heldMessage is a message that waits for the end of the takeover.
type heldMessage struct {
	at time.Duration
	m  message.Message
}

// subscription is a running subscription to an engine's reports.
type subscription struct {
	address string
	cancel  context.CancelFunc
}

// newHost starts the scheduler of a shard. A router that is alone has nobody to wait for.
func (d *Dispatcher) newHost(shard Shard, routes *Routes) *host {
	h := &host{
		sched: scheduler.New(scheduler.Options{
			Shard:      shard.ID,
			Siblings:   shard.Siblings,
			Epoch:      uint64(d.opts.Incarnation),
			Generation: routes.Generation,
			Seed:       uint64(d.opts.Incarnation),

			DeltaSeqBase: d.tenures[shard.ID] * reportsPerTenure,
		}),
		now:           d.now,
		subscriptions: make(map[string]subscription),
	}
	d.tenures[shard.ID]++
	h.feed = func(f func(*scheduler.Scheduler, *scheduler.Decisions)) { d.apply(h, f) }
	if len(routes.Live) > 1 {
		h.grantFrom = d.now() + takeoverDelay
	}
	return h
}

// hold keeps a request back while the takeover lasts. It reports whether it did. Requests that arrive while others
// are still held are held too, so that order is kept.
func (h *host) hold(m message.Message, now time.Duration) bool {
	switch m.(type) {
	case *message.Enqueue, *message.Cancel:
	default:
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now >= h.grantFrom && len(h.held) == 0 {
		return false
	}
	if len(h.held) < maxHeld {
		h.held = append(h.held, heldMessage{at: now, m: m})
	}
	return true
}

// release passes the held requests to the scheduler once the takeover is over. It gets all of them before it grants, so
// that the first slots go in fair order and not to the router whose messages came first. Withdrawals come before, so
// that nothing is granted to them. The lock is held.
func (h *host) release(now time.Duration, out *scheduler.Decisions) {
	if now < h.grantFrom || len(h.held) == 0 {
		return
	}
	var requests []message.Enqueue
	for _, held := range h.held {
		switch m := held.m.(type) {
		case *message.Cancel:
			h.sched.Cancel(now, *m, out)
		case *message.Enqueue:
			requests = append(requests, aged(*m, now-held.at))
		}
	}
	h.held = nil
	h.sched.EnqueueAll(now, requests, out)
}

// aged returns a request as it would be described after the time that it was held. Without it, requests that came
// early would seem to have waited less than those that came late.
func aged(m message.Enqueue, held time.Duration) message.Enqueue {
	ms := uint32(held.Milliseconds())
	m.WaitedMS += ms
	m.DeadlineMS -= min(ms, m.DeadlineMS)
	return m
}

// subscribe keeps one subscription for each model engine of the shard.
func (h *host) subscribe(source LoadSource, servers []*object.BackendServer) {
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

func (h *host) ensureSubscription(source LoadSource, server *object.BackendServer) {
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
		// The subscription reconnects by itself and returns only the context's error.
		_ = source.Subscribe(ctx, server, h.onLoad, h.onCache)
	}()
}

func (h *host) onLoad(r scheduler.LoadReport) {
	h.feed(func(s *scheduler.Scheduler, out *scheduler.Decisions) { s.ReportLoad(h.now(), r, out) })
}

func (h *host) onCache(e scheduler.CacheEvent) {
	h.feed(func(s *scheduler.Scheduler, _ *scheduler.Decisions) { s.UpdateCache(h.now(), e) })
}

// stop ends the subscriptions.
func (h *host) stop() {
	for name, s := range h.subscriptions {
		s.cancel()
		delete(h.subscriptions, name)
	}
}

var decisionPool = sync.Pool{New: func() any { return new(scheduler.Decisions) }}

// apply runs an event on a host's scheduler and sends the decisions after the lock is released.
func (d *Dispatcher) apply(h *host, event func(*scheduler.Scheduler, *scheduler.Decisions)) {
	out := decisionPool.Get().(*scheduler.Decisions)
	out.Reset()
	h.mu.Lock()
	event(h.sched, out)
	h.mu.Unlock()
	d.sendDecisions(out)
	decisionPool.Put(out)
}

// sendDecisions sends each decision to the router it is for. Messages are copied, since the decisions' memory is
// used again.
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
