package dispatch

import (
	"context"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// maintainPeriod is how often waiting requests are checked for a lost or refused enqueue.
const maintainPeriod = 100 * time.Millisecond

// outgoing is a message with its receiver, collected under a lock and sent after it.
type outgoing struct {
	to ident.RouterID
	m  message.Message
}

// Update puts new routes in force and moves requests whose dispatcher changed: waiting ones are enqueued again and
// running ones are reported.
func (i *Ingress) Update(routes *Routes) {
	i.setServers(routes)
	i.routes.Store(routes)
	i.resend(ownerChanged)
}

// LinkUp sends again what a dispatcher may have missed while the link to it was down.
func (i *Ingress) LinkUp(peer ident.RouterID) {
	if i.routes.Load() == nil {
		return
	}
	i.resend(func(_ ident.ShardID, _, current Owner) bool { return current.Router == peer })
}

// resend enqueues or reports the requests whose noted and current dispatchers satisfy need.
func (i *Ingress) resend(need func(shard ident.ShardID, noted, current Owner) bool) {
	routes := i.routes.Load()
	now := time.Now()
	for n := range i.tables {
		i.flush(i.tables[n].resend(i, routes, now, need))
	}
}

func (i *Ingress) flush(list []outgoing) {
	for _, o := range list {
		i.send(o.to, o.m)
	}
}

func (t *table) resend(i *Ingress, routes *Routes, now time.Time, need func(shard ident.ShardID, noted, current Owner) bool) []outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []outgoing
	for _, w := range t.waiting {
		i.fitShard(w, routes)
		current, _ := routes.owner(w.shard)
		if !need(w.shard, w.owner, current) {
			continue
		}
		if m, to := i.prepareEnqueue(w, routes, now); m != nil {
			out = append(out, outgoing{to, m})
		}
	}
	for _, a := range t.running {
		current, ok := routes.owner(a.shard)
		if !ok || !need(a.shard, a.owner, current) {
			continue
		}
		a.owner = current
		out = append(out, outgoing{current.Router, a.report()})
	}
	return out
}

// fitShard moves a waiting request whose shard is gone after a change of configuration.
func (i *Ingress) fitShard(w *waiter, routes *Routes) {
	pool, ok := routes.Pools[w.shard.Pool]
	if ok && int(w.shard.Index) >= len(pool.Owners) && len(pool.Owners) > 0 {
		w.shard = i.chooseShard(w.work, pool)
	}
}

// report describes the running attempt to a new dispatcher.
func (a *attempt) report() *message.Running {
	return &message.Running{
		Shard:   a.shard,
		Ref:     a.work.Ref,
		Team:    a.work.Team,
		Backend: ident.BackendID(a.server.Name),
		Cost:    ident.Cost(a.cost.Load()),
	}
}

// Run sends progress reports and repeats enqueues that may have been lost, until the context ends.
func (i *Ingress) Run(ctx context.Context) {
	maintain := time.NewTicker(maintainPeriod)
	defer maintain.Stop()
	local := time.NewTicker(localProgressPeriod)
	defer local.Stop()
	progress := time.NewTicker(progressPeriod)
	defer progress.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-maintain.C:
			i.maintain(now)
		case <-local.C:
			i.reportProgress(func(to ident.RouterID) bool { return to == i.opts.Self })
		case <-progress.C:
			i.reportProgress(func(to ident.RouterID) bool { return to != i.opts.Self })
		}
	}
}

// maintain moves requests that missed a change of the dispatcher: those that were registered during an update, and those
// that a former dispatcher granted after it. It enqueues requests again whose time has come.
func (i *Ingress) maintain(now time.Time) {
	routes := i.routes.Load()
	if routes == nil {
		return
	}
	for n := range i.tables {
		i.flush(i.tables[n].resend(i, routes, now, ownerChanged))
		i.flush(i.tables[n].overdue(i, routes, now))
	}
}

func ownerChanged(_ ident.ShardID, noted, current Owner) bool { return noted != current }

func (t *table) overdue(i *Ingress, routes *Routes, now time.Time) []outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []outgoing
	for _, w := range t.waiting {
		if now.Before(w.resendAt) {
			continue
		}
		i.fitShard(w, routes)
		if m, to := i.prepareEnqueue(w, routes, now); m != nil {
			out = append(out, outgoing{to, m})
		}
	}
	return out
}

// reportProgress tells the selected dispatchers the cost so far of each running attempt. The report also keeps the
// attempt's slot reserved.
func (i *Ingress) reportProgress(selected func(to ident.RouterID) bool) {
	for n := range i.tables {
		i.flush(i.tables[n].progress(selected))
	}
}

func (t *table) progress(selected func(to ident.RouterID) bool) []outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []outgoing
	for _, a := range t.running {
		if !selected(a.owner.Router) {
			continue
		}
		cost := ident.Cost(a.cost.Load())
		out = append(out, outgoing{a.owner.Router, &message.Progress{Shard: a.shard, Ref: a.work.Ref, Cost: cost}})
	}
	return out
}

// HandleTakeover sends a new dispatcher what this router holds for the shard. A router that is not the owner in this
// router's view gets it when the view changes.
func (i *Ingress) HandleTakeover(from ident.RouterID, m *message.Takeover) {
	if i.routes.Load() == nil {
		return
	}
	i.resend(func(shard ident.ShardID, _, current Owner) bool {
		return shard == m.Shard && current.Router == from
	})
}
