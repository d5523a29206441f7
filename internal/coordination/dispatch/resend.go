package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// maintenancePeriod is the period at which waiting requests are checked for a lost or rejected Enqueue.
const maintenancePeriod = 100 * time.Millisecond

// outgoing is a message with its receiver. Messages are collected while a table is locked and sent after it is
// unlocked. They are sorted by the age of their requests first, because the tables are unordered.
type outgoing struct {
	to    ident.RouterID
	m     message.Message
	since time.Time
	ref   ident.AttemptRef
}

// Update applies new routes and moves the requests whose dispatcher has changed: it enqueues waiting requests at the
// new dispatcher and reports running attempts to it.
func (i *Ingress) Update(routes *Routes) {
	i.setServers(routes)
	i.routes.Store(routes)
	i.resend(ownerChanged)
}

// LinkUp resends the messages that a dispatcher may have missed while the link to it was down.
func (i *Ingress) LinkUp(peer ident.RouterID) {
	if i.routes.Load() == nil {
		return
	}
	i.resend(func(_ ident.ShardID, _, current Owner) bool { return current.Router == peer })
}

// resend enqueues or reports again the requests for which needed returns true, given the shard, the recorded dispatcher
// and the current dispatcher.
func (i *Ingress) resend(needed func(shard ident.ShardID, recorded, current Owner) bool) {
	i.sendAll(i.collectResends(time.Now(), needed))
}

// sendAll sends the messages in order.
func (i *Ingress) sendAll(list []outgoing) {
	for _, o := range list {
		i.send(o.to, o.m)
	}
}

// collectResends returns the messages that resend sends: first the reports of running attempts, so that their slots are
// counted first, and then the waiting requests, each in the order of their age.
func (i *Ingress) collectResends(
	now time.Time, needed func(shard ident.ShardID, recorded, current Owner) bool,
) []outgoing {
	routes := i.routes.Load()
	var running, waiting []outgoing
	for n := range i.tables {
		t := &i.tables[n]
		t.mu.Lock()
		running = t.appendReports(running, routes, needed)
		waiting = t.appendEnqueues(waiting, i, routes, now, func(w *waiter, current Owner) bool {
			return needed(w.shard, w.owner, current)
		})
		t.mu.Unlock()
	}
	return append(sortByAge(running), sortByAge(waiting)...)
}

// appendReports appends reports of the running attempts for which needed returns true, and makes the current
// dispatchers their owners.
func (t *requestTable) appendReports(
	out []outgoing, routes *Routes, needed func(shard ident.ShardID, recorded, current Owner) bool,
) []outgoing {
	for _, a := range t.running {
		current, ok := routes.owner(a.shard)
		if !ok || !needed(a.shard, a.owner, current) {
			continue
		}
		a.owner = current
		out = append(out, outgoing{current.Router, a.report(), a.started, a.work.Ref})
	}
	return out
}

// appendEnqueues appends an Enqueue for each waiting request for which needed returns true.
func (t *requestTable) appendEnqueues(
	out []outgoing, i *Ingress, routes *Routes, now time.Time, needed func(w *waiter, current Owner) bool,
) []outgoing {
	for _, w := range t.waiting {
		i.replaceRemovedShard(w, routes)
		current, _ := routes.owner(w.shard)
		if !needed(w, current) {
			continue
		}
		if m, to := i.prepareEnqueue(w, routes, now); m != nil {
			out = append(out, outgoing{to, m, w.since, w.work.Ref})
		}
	}
	return out
}

// sortByAge sorts messages by the age of their requests, oldest first, and returns the list.
func sortByAge(list []outgoing) []outgoing {
	slices.SortFunc(list, func(a, b outgoing) int {
		return cmp.Or(
			a.since.Compare(b.since),
			cmp.Compare(a.ref.Request.Seq, b.ref.Request.Seq),
			cmp.Compare(a.ref.Attempt, b.ref.Attempt),
		)
	})
	return list
}

// replaceRemovedShard chooses another shard for a waiting request if a change of configuration has removed its shard.
func (i *Ingress) replaceRemovedShard(w *waiter, routes *Routes) {
	pool, ok := routes.Pools[w.shard.Pool]
	if ok && int(w.shard.Index) >= len(pool.Owners) && len(pool.Owners) > 0 {
		w.shard = i.chooseShard(w.work, pool, true)
	}
}

// report returns the message that describes the running attempt to a dispatcher.
func (a *attempt) report() *message.Running {
	return &message.Running{
		Shard:   a.shard,
		Ref:     a.work.Ref,
		Team:    a.work.Team,
		Backend: ident.BackendID(a.server.Name),
		Cost:    ident.Cost(a.cost.Load()),
	}
}

// Run sends progress reports and resends Enqueues that may have been lost, until the context ends.
func (i *Ingress) Run(ctx context.Context) {
	// One ticker drives all periodic tasks. A select over several tickers that fire at the same time crashed the Go 1.26
	// runtime in tests with synctest and the race detector.
	ticker := time.NewTicker(maintenancePeriod)
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

// tick runs the tasks that are due in the n-th maintenance period.
func (i *Ingress) tick(now time.Time, n int) {
	i.resendMissed(now)
	if n%int(localProgressPeriod/maintenancePeriod) == 0 {
		i.reportProgress(func(to ident.RouterID) bool { return to == i.opts.Self })
	}
	if n%int(progressPeriod/maintenancePeriod) == 0 {
		i.reportProgress(func(to ident.RouterID) bool { return to != i.opts.Self })
	}
}

// resendMissed moves requests that missed a change of the dispatcher: those that were registered during an update, and
// those that a former dispatcher granted after it. It also enqueues the requests again whose resend time has passed.
func (i *Ingress) resendMissed(now time.Time) {
	if i.routes.Load() == nil {
		return
	}
	i.sendAll(i.collectResends(now, ownerChanged))
	i.sendAll(i.collectOverdue(now))
}

// ownerChanged reports whether a request's shard has another dispatcher than the recorded one.
func ownerChanged(_ ident.ShardID, recorded, current Owner) bool { return recorded != current }

// collectOverdue returns an Enqueue for each waiting request whose resend time has passed.
func (i *Ingress) collectOverdue(now time.Time) []outgoing {
	routes := i.routes.Load()
	var out []outgoing
	for n := range i.tables {
		t := &i.tables[n]
		t.mu.Lock()
		out = t.appendEnqueues(out, i, routes, now, func(w *waiter, _ Owner) bool { return !now.Before(w.resendAt) })
		t.mu.Unlock()
	}
	return sortByAge(out)
}

// reportProgress sends the cost so far of each running attempt to its dispatcher, for the selected dispatchers. The
// report also keeps the attempt's slot reserved.
func (i *Ingress) reportProgress(selected func(to ident.RouterID) bool) {
	var out []outgoing
	for n := range i.tables {
		out = i.tables[n].appendProgress(out, selected)
	}
	i.sendAll(sortByAge(out))
}

// appendProgress appends a progress report for each running attempt that a selected dispatcher counts.
func (t *requestTable) appendProgress(out []outgoing, selected func(to ident.RouterID) bool) []outgoing {
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

// HandleTakeover sends this router's waiting and running requests of the shard to the new dispatcher. If this router's
// view has another owner, the requests are sent when the view changes.
func (i *Ingress) HandleTakeover(from ident.RouterID, m *message.Takeover) {
	if i.routes.Load() == nil {
		return
	}
	i.resend(func(shard ident.ShardID, _, current Owner) bool {
		return shard == m.Shard && current.Router == from
	})
}
