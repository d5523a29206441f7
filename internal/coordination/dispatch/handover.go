package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// maintainPeriod is how often waiting requests are checked for a lost or refused enqueue.
const maintainPeriod = 100 * time.Millisecond

// outgoing is a message with its receiver, collected under a lock and sent after it. Messages are sent in the order of
// their requests, since the tables have none.
type outgoing struct {
	to    ident.RouterID
	m     message.Message
	since time.Time
	ref   ident.AttemptRef
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
	i.flush(i.collect(time.Now(), need))
}

func (i *Ingress) flush(list []outgoing) {
	for _, o := range list {
		i.send(o.to, o.m)
	}
}

// collect returns reports of running attempts, so that their slots are counted first, and then the waiting requests in
// the order in which they arrived.
func (i *Ingress) collect(now time.Time, need func(shard ident.ShardID, noted, current Owner) bool) []outgoing {
	routes := i.routes.Load()
	var running, waiting []outgoing
	for n := range i.tables {
		t := &i.tables[n]
		t.mu.Lock()
		running = t.reports(running, routes, need)
		waiting = t.enqueues(waiting, i, routes, now, func(w *waiter, current Owner) bool {
			return need(w.shard, w.owner, current)
		})
		t.mu.Unlock()
	}
	return append(inOrder(running), inOrder(waiting)...)
}

// reports adds reports of the running attempts whose noted and current dispatchers satisfy need.
func (t *table) reports(out []outgoing, routes *Routes, need func(shard ident.ShardID, noted, current Owner) bool) []outgoing {
	for _, a := range t.running {
		current, ok := routes.owner(a.shard)
		if !ok || !need(a.shard, a.owner, current) {
			continue
		}
		a.owner = current
		out = append(out, outgoing{current.Router, a.report(), a.started, a.work.Ref})
	}
	return out
}

// enqueues adds the waiting requests that need it.
func (t *table) enqueues(out []outgoing, i *Ingress, routes *Routes, now time.Time, need func(w *waiter, current Owner) bool) []outgoing {
	for _, w := range t.waiting {
		i.fitShard(w, routes)
		current, _ := routes.owner(w.shard)
		if !need(w, current) {
			continue
		}
		if m, to := i.prepareEnqueue(w, routes, now); m != nil {
			out = append(out, outgoing{to, m, w.since, w.work.Ref})
		}
	}
	return out
}

// inOrder sorts messages by the age of their requests.
func inOrder(list []outgoing) []outgoing {
	slices.SortFunc(list, func(a, b outgoing) int {
		return cmp.Or(
			a.since.Compare(b.since),
			cmp.Compare(a.ref.Request.Seq, b.ref.Request.Seq),
			cmp.Compare(a.ref.Attempt, b.ref.Attempt),
		)
	})
	return list
}

// fitShard moves a waiting request whose shard is gone after a change of configuration.
func (i *Ingress) fitShard(w *waiter, routes *Routes) {
	pool, ok := routes.Pools[w.shard.Pool]
	if ok && int(w.shard.Index) >= len(pool.Owners) && len(pool.Owners) > 0 {
		w.shard = i.chooseShard(w.work, pool, true)
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
	// One ticker drives all periods. A select over several tickers that are due together crashed the runtime of Go 1.26
	// in tests with synctest and the race detector.
	ticker := time.NewTicker(maintainPeriod)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			i.tick(now, n)
		}
	}
}

// tick does what is due in the n-th maintenance period.
func (i *Ingress) tick(now time.Time, n int) {
	i.maintain(now)
	if n%int(localProgressPeriod/maintainPeriod) == 0 {
		i.reportProgress(func(to ident.RouterID) bool { return to == i.opts.Self })
	}
	if n%int(progressPeriod/maintainPeriod) == 0 {
		i.reportProgress(func(to ident.RouterID) bool { return to != i.opts.Self })
	}
}

// maintain moves requests that missed a change of the dispatcher: those that were registered during an update, and those
// that a former dispatcher granted after it. It enqueues requests again whose time has come.
func (i *Ingress) maintain(now time.Time) {
	if i.routes.Load() == nil {
		return
	}
	i.flush(i.collect(now, ownerChanged))
	i.flush(i.overdue(now))
}

func ownerChanged(_ ident.ShardID, noted, current Owner) bool { return noted != current }

func (i *Ingress) overdue(now time.Time) []outgoing {
	routes := i.routes.Load()
	var out []outgoing
	for n := range i.tables {
		t := &i.tables[n]
		t.mu.Lock()
		out = t.enqueues(out, i, routes, now, func(w *waiter, _ Owner) bool { return !now.Before(w.resendAt) })
		t.mu.Unlock()
	}
	return inOrder(out)
}

// reportProgress tells the selected dispatchers the cost so far of each running attempt. The report also keeps the
// attempt's slot reserved.
func (i *Ingress) reportProgress(selected func(to ident.RouterID) bool) {
	var out []outgoing
	for n := range i.tables {
		out = i.tables[n].progress(out, selected)
	}
	i.flush(inOrder(out))
}

func (t *table) progress(out []outgoing, selected func(to ident.RouterID) bool) []outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.running {
		if !selected(a.owner.Router) {
			continue
		}
		m := &message.Progress{Shard: a.shard, Ref: a.work.Ref, Cost: ident.Cost(a.cost.Load())}
		out = append(out, outgoing{a.owner.Router, m, a.started, a.work.Ref})
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
