package dispatch

import (
	"sync/atomic"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// attempt is a granted attempt of a request of this router's callers.
type attempt struct {
	ingress *Ingress
	work    Work
	shard   ident.ShardID
	server  *object.BackendServer
	// grantedBy is the dispatcher whose grant the attempt runs under.
	grantedBy Owner
	started   time.Time
	// cost is the cost so far, in cost units.
	cost    atomic.Int64
	settled atomic.Bool
	// owner is the dispatcher that counts the attempt. It is guarded by the table's lock.
	owner Owner
}

// Ref implements Attempt.
func (a *attempt) Ref() ident.AttemptRef { return a.work.Ref }

// Backend implements Attempt.
func (a *attempt) Backend() *object.BackendServer { return a.server }

// Progress implements Attempt.
func (a *attempt) Progress(cost ident.Cost) { a.cost.Store(int64(cost)) }

// Settle implements Attempt.
func (a *attempt) Settle(result message.SettleResult, cost ident.Cost) {
	if a.settled.Swap(true) {
		return
	}
	t := a.ingress.table(a.work.Ref)
	t.mu.Lock()
	delete(t.running, a.work.Ref)
	owner := a.owner.Router
	t.mu.Unlock()
	a.ingress.active.Add(-1)
	a.ingress.opts.Events.Add(timeline.Event{
		Kind:    timeline.KindSettle,
		Request: a.work.Ref.Request.String(),
		Attempt: a.work.Ref.Attempt,
		Team:    a.work.Team,
		Shard:   a.shard.String(),
		Backend: ident.BackendID(a.server.Name),
		Peer:    owner,
		Detail:  result.String(),
	})
	a.ingress.send(owner, &message.Settle{
		Shard:  a.shard,
		Ref:    a.work.Ref,
		Cost:   cost,
		Result: result,
		RunMS:  uint32(time.Since(a.started).Milliseconds()),
	})
}
