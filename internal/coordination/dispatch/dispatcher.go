package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/coordination/scheduler"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

const (
	// tickPeriod is how often schedulers check deadlines, expired grants and idle slots.
	tickPeriod = 100 * time.Millisecond
	// takeoverDelay is how long a new dispatcher collects reports of running attempts before its first grant, so
	// that it does not grant slots that are in use.
	takeoverDelay = 150 * time.Millisecond
	// reportsPerTenure is the number of service deltas that a scheduler may number, out of the 2^64 of a process. At ten a
	// second it lasts for 13 years.
	reportsPerTenure = 1 << 32
)

// LoadSource subscribes to the load reports and cache events of a model engine until the context ends.
type LoadSource interface {
	Subscribe(ctx context.Context, server *object.BackendServer, onLoad func(scheduler.LoadReport), onCache func(scheduler.CacheEvent)) error
}

// DispatcherOptions configures a Dispatcher.
type DispatcherOptions struct {
	Self        ident.RouterID
	Incarnation ident.Incarnation
	Sender      Sender
	Loads       LoadSource
	Events      *timeline.Ring
}

// Dispatcher runs the schedulers of the shards that this router owns. It is safe for concurrent use.
type Dispatcher struct {
	opts   DispatcherOptions
	start  time.Time
	routes atomic.Pointer[Routes]
	// hosts is replaced whole; readers take no lock.
	hosts  atomic.Pointer[map[ident.ShardID]*host]
	update sync.Mutex
	// tenures counts the schedulers started for each shard. The update lock guards it.
	tenures map[ident.ShardID]uint64
}

// NewDispatcher returns a dispatcher that owns no shards before the first Update.
func NewDispatcher(opts DispatcherOptions) *Dispatcher {
	d := &Dispatcher{opts: opts, start: time.Now(), tenures: make(map[ident.ShardID]uint64)}
	empty := make(map[ident.ShardID]*host)
	d.hosts.Store(&empty)
	return d
}

func (d *Dispatcher) now() time.Duration { return time.Since(d.start) }

// Update puts new routes in force: it starts schedulers for shards that this router now owns and drops the others.
// Ingress routers enqueue again what a dropped scheduler held.
func (d *Dispatcher) Update(routes *Routes) {
	d.update.Lock()
	defer d.update.Unlock()
	previous := d.routes.Swap(routes)
	old := *d.hosts.Load()
	next := make(map[ident.ShardID]*host, len(routes.Own))
	for _, shard := range routes.Own {
		h, ok := old[shard.ID]
		if !ok {
			h = d.newHost(shard, routes)
		}
		next[shard.ID] = h
		d.configure(h, shard, routes)
	}
	d.hosts.Store(&next)
	for id, h := range old {
		if _, kept := next[id]; !kept {
			h.stop()
			d.recordOwner(id, "released")
		}
	}
	d.releaseGone(previous, routes)
	d.readmit(previous, routes)
	d.announceNew(old, next, routes)
}

// configure gives a host the shard's backend servers and the teams' limits.
func (d *Dispatcher) configure(h *host, shard Shard, routes *Routes) {
	h.subscribe(d.opts.Loads, shard.Servers)
	d.apply(h, func(s *scheduler.Scheduler, out *scheduler.Decisions) {
		s.SetTeams(routes.Teams)
		s.SetBackends(d.now(), routes.Generation, backends(shard.Servers), shard.Siblings, out)
	})
}

func backends(servers []*object.BackendServer) []scheduler.Backend {
	list := make([]scheduler.Backend, 0, len(servers))
	for _, server := range servers {
		list = append(list, scheduler.Backend{
			ID:       ident.BackendID(server.Name),
			Domain:   ident.DomainID(server.FailureDomain),
			Slots:    server.Slots,
			Draining: server.State == object.StateDraining,
		})
	}
	return list
}

// announceNew asks all live routers for what they hold for the shards taken over.
func (d *Dispatcher) announceNew(old, next map[ident.ShardID]*host, routes *Routes) {
	for id := range next {
		if _, kept := old[id]; kept {
			continue
		}
		d.recordOwner(id, "taken over")
		for router := range routes.Live {
			d.opts.Sender.Send(router, &message.Takeover{Shard: id})
		}
	}
}

// releaseGone frees what routers that died or restarted held.
func (d *Dispatcher) releaseGone(previous, routes *Routes) {
	if previous == nil {
		return
	}
	for router, was := range previous.Live {
		is, live := routes.Live[router]
		if live && is == was {
			continue
		}
		for _, h := range *d.hosts.Load() {
			d.apply(h, func(s *scheduler.Scheduler, out *scheduler.Decisions) {
				s.RouterGone(d.now(), router, was, out)
			})
		}
	}
}

// readmit takes requests again of routers that were held gone and live on as the same process, after a pause or a
// partition. What they held was forgotten, so they are asked for it.
func (d *Dispatcher) readmit(previous, routes *Routes) {
	if previous == nil {
		return
	}
	for router, is := range routes.Live {
		was, live := previous.Live[router]
		if live && was == is {
			continue
		}
		for id, h := range *d.hosts.Load() {
			d.apply(h, func(s *scheduler.Scheduler, _ *scheduler.Decisions) {
				s.RouterReturned(d.now(), router, is)
			})
			d.opts.Sender.Send(router, &message.Takeover{Shard: id})
		}
	}
}

// Handle takes a message for one of this router's shards. Requests for other shards are refused; other messages for
// them are late and have no effect.
func (d *Dispatcher) Handle(from ident.RouterID, m message.Message) {
	shard, ok := target(m)
	if !ok {
		return
	}
	h, owned := (*d.hosts.Load())[shard]
	if !owned {
		d.refuse(from, m)
		return
	}
	if h.hold(m, d.now()) {
		return
	}
	d.apply(h, func(s *scheduler.Scheduler, out *scheduler.Decisions) {
		deliver(s, d.now(), m, out)
	})
}

// target returns the shard that a message is for.
func target(m message.Message) (ident.ShardID, bool) {
	switch m := m.(type) {
	case *message.Enqueue:
		return m.Shard, true
	case *message.Running:
		return m.Shard, true
	case *message.Cancel:
		return m.Shard, true
	case *message.Progress:
		return m.Shard, true
	case *message.Settle:
		return m.Shard, true
	case *message.ServiceDelta:
		return ident.ShardID{Pool: m.Shard.Pool, Index: m.To}, true
	case *message.FreeSlots:
		return ident.ShardID{Pool: m.Shard.Pool, Index: m.To}, true
	default:
		return ident.ShardID{}, false
	}
}

// deliver passes a message to a scheduler.
func deliver(s *scheduler.Scheduler, now time.Duration, m message.Message, out *scheduler.Decisions) {
	switch m := m.(type) {
	case *message.Enqueue:
		s.Enqueue(now, *m, out)
	case *message.Running:
		s.Running(now, *m)
	case *message.Cancel:
		s.Cancel(now, *m, out)
	case *message.Progress:
		s.Progress(now, *m)
	case *message.Settle:
		s.Settle(now, *m, out)
	case *message.ServiceDelta:
		s.ServiceDelta(now, *m)
	case *message.FreeSlots:
		s.FreeSlots(now, *m, out)
	}
}

// refuse answers a request for a shard that this router does not own.
func (d *Dispatcher) refuse(from ident.RouterID, m message.Message) {
	enqueue, ok := m.(*message.Enqueue)
	if !ok {
		return
	}
	d.opts.Sender.Send(from, &message.Reject{
		Shard:  enqueue.Shard,
		Ref:    enqueue.Ref,
		Reason: message.RejectNotOwner,
	})
}

// Run drives the schedulers' timers until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.stopHosts()
			return
		case <-ticker.C:
			d.tick()
		}
	}
}

// stopHosts ends the subscriptions to engines.
func (d *Dispatcher) stopHosts() {
	d.update.Lock()
	defer d.update.Unlock()
	for _, h := range *d.hosts.Load() {
		h.stop()
	}
}

func (d *Dispatcher) tick() {
	for _, h := range *d.hosts.Load() {
		d.apply(h, func(s *scheduler.Scheduler, out *scheduler.Decisions) {
			h.release(d.now(), out)
			s.Tick(d.now(), out)
		})
	}
}

// Stats returns the statistics of the shards that this router owns.
func (d *Dispatcher) Stats() map[ident.ShardID]scheduler.Stats {
	hosts := *d.hosts.Load()
	all := make(map[ident.ShardID]scheduler.Stats, len(hosts))
	for id, h := range hosts {
		h.mu.Lock()
		all[id] = h.sched.Stats()
		h.mu.Unlock()
	}
	return all
}

func (d *Dispatcher) recordOwner(id ident.ShardID, detail string) {
	d.opts.Events.Add(timeline.Event{Kind: timeline.KindOwner, Shard: id.String(), Detail: detail})
}
