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
	// tickPeriod is the period at which schedulers check deadlines, expired grants and idle slots.
	tickPeriod = 100 * time.Millisecond
	// takeoverDelay is how long a new dispatcher collects reports of running attempts before its first grant, so
	// that it does not grant slots that are in use.
	takeoverDelay = 150 * time.Millisecond
	// deltasPerScheduler is the number of sequence numbers reserved for the service deltas of one scheduler, out of the
	// 2^64 of a process. At ten deltas per second they last for 13 years.
	deltasPerScheduler = 1 << 32
)

// LoadSource provides the load reports and cache events of model engines.
type LoadSource interface {
	// Subscribe passes the load reports and cache events of a model engine to the callbacks until the context ends.
	Subscribe(
		ctx context.Context, server *object.BackendServer,
		onLoad func(scheduler.LoadReport), onCache func(scheduler.CacheEvent),
	) error
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
	// hosts is an immutable map that Update replaces, so that readers need no lock.
	hosts    atomic.Pointer[map[ident.ShardID]*schedulerHost]
	updateMu sync.Mutex
	// schedulersStarted counts the schedulers started for each shard. It is guarded by updateMu.
	schedulersStarted map[ident.ShardID]uint64
}

// NewDispatcher returns a dispatcher that owns no shards until the first Update.
func NewDispatcher(opts DispatcherOptions) *Dispatcher {
	d := &Dispatcher{opts: opts, start: time.Now(), schedulersStarted: make(map[ident.ShardID]uint64)}
	empty := make(map[ident.ShardID]*schedulerHost)
	d.hosts.Store(&empty)
	return d
}

// now returns the time since the dispatcher was created, which is the clock of the schedulers.
func (d *Dispatcher) now() time.Duration { return time.Since(d.start) }

// Update applies new routes. It starts schedulers for the shards that this router has become the owner of and stops
// those for shards that it no longer owns. The ingress routers enqueue the requests of a stopped scheduler again at the
// new owner.
func (d *Dispatcher) Update(routes *Routes) {
	d.updateMu.Lock()
	defer d.updateMu.Unlock()
	previous := d.routes.Swap(routes)
	old := *d.hosts.Load()
	next := make(map[ident.ShardID]*schedulerHost, len(routes.OwnedShards))
	for _, shard := range routes.OwnedShards {
		h, ok := old[shard.ID]
		if !ok {
			h = d.newSchedulerHost(shard, routes)
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
	d.releaseDeparted(previous, routes)
	d.readmitRouters(previous, routes)
	d.announceTakeovers(old, next, routes)
}

// configure sets the shard's backend servers and the teams' limits in its scheduler.
func (d *Dispatcher) configure(h *schedulerHost, shard Shard, routes *Routes) {
	h.subscribe(d.opts.Loads, shard.Servers)
	d.apply(h, func(s *scheduler.Scheduler, out *scheduler.Decisions) {
		s.SetTeams(routes.Teams)
		s.SetBackends(d.now(), routes.Generation, schedulerBackends(shard.Servers), shard.Siblings, out)
	})
}

// schedulerBackends converts backend servers to the form that the scheduler uses.
func schedulerBackends(servers []*object.BackendServer) []scheduler.Backend {
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

// announceTakeovers asks all live routers for their waiting and running requests in the shards that this router has
// become the owner of.
func (d *Dispatcher) announceTakeovers(old, next map[ident.ShardID]*schedulerHost, routes *Routes) {
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

// releaseDeparted removes the requests of routers that died or restarted from the schedulers.
func (d *Dispatcher) releaseDeparted(previous, routes *Routes) {
	if previous == nil {
		return
	}
	for router, previousIncarnation := range previous.Live {
		incarnation, live := routes.Live[router]
		if live && incarnation == previousIncarnation {
			continue
		}
		for _, h := range *d.hosts.Load() {
			d.apply(h, func(s *scheduler.Scheduler, out *scheduler.Decisions) {
				s.RouterGone(d.now(), router, previousIncarnation, out)
			})
		}
	}
}

// readmitRouters accepts requests again from routers that were considered dead and are still the same process, after a
// pause or a partition. The schedulers have removed the requests of such a router, so it is asked for them.
func (d *Dispatcher) readmitRouters(previous, routes *Routes) {
	if previous == nil {
		return
	}
	for router, incarnation := range routes.Live {
		previousIncarnation, live := previous.Live[router]
		if live && previousIncarnation == incarnation {
			continue
		}
		for id, h := range *d.hosts.Load() {
			d.apply(h, func(s *scheduler.Scheduler, _ *scheduler.Decisions) {
				s.RouterReturned(d.now(), router, incarnation)
			})
			d.opts.Sender.Send(router, &message.Takeover{Shard: id})
		}
	}
}

// Handle handles a message for one of this router's shards. An Enqueue for another shard is rejected. Other messages
// for another shard are late and are ignored.
func (d *Dispatcher) Handle(from ident.RouterID, m message.Message) {
	shard, ok := targetShard(m)
	if !ok {
		return
	}
	h, owned := (*d.hosts.Load())[shard]
	if !owned {
		d.rejectNotOwner(from, m)
		return
	}
	if h.hold(m, d.now()) {
		return
	}
	d.apply(h, func(s *scheduler.Scheduler, out *scheduler.Decisions) {
		deliver(s, d.now(), m, out)
	})
}

// targetShard returns the shard that a message is for. It returns false for messages that no dispatcher handles.
func targetShard(m message.Message) (ident.ShardID, bool) {
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

// rejectNotOwner rejects an Enqueue for a shard that this router does not own. Other messages are ignored.
func (d *Dispatcher) rejectNotOwner(from ident.RouterID, m message.Message) {
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

// Run drives the schedulers' timers until the context ends. Then it cancels the subscriptions to engines.
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

// stopHosts cancels the subscriptions to engines.
func (d *Dispatcher) stopHosts() {
	d.updateMu.Lock()
	defer d.updateMu.Unlock()
	for _, h := range *d.hosts.Load() {
		h.stop()
	}
}

// tick passes the messages held during a takeover to the schedulers once it is over, and runs their timers.
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

// recordOwner adds a change of a shard's owner to the timeline.
func (d *Dispatcher) recordOwner(id ident.ShardID, detail string) {
	d.opts.Events.Add(timeline.Event{Kind: timeline.KindOwner, Shard: id.String(), Detail: detail})
}
