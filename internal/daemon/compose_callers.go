package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/claim"
	"gooseberrytide.example/gooseberrytide/internal/coordination/entry"
	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/coordination/retry"
	"gooseberrytide.example/gooseberrytide/internal/protocol/caller"
	"gooseberrytide.example/gooseberrytide/internal/protocol/engine"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/transport/callerhttp"
)

var errNotServing = errors.New("configuration not confirmed recently")

func (d *Daemon) composeCallers() {
	quota := claim.NewWriteQuota(d.settings.ClaimWritesPerSecond, d.liveRouters, time.Now)
	d.claims = claim.New(claim.Options{
		Store:       quota.WrapStore(d.store),
		Self:        ident.RouterID(d.settings.ID),
		Incarnation: d.incarnation,
		Budget:      quota.WritesPerSecond,
		Cluster:     d.store.ClusterID,
		Fencing:     d.fencing,
		Logger:      d.log,
	})
	d.executor = execute.New(execute.Options{
		Admitter: d.router.Ingress(),
		Backends: d.backends,
		Claims:   d.claims,
		Retry:    retryBudget{retry.NewBudget(retry.Options{})},
		Objects:  d.currentObjects,
		Serving:  d.serving,
		Logger:   d.log,
	})
	d.callerServer = callerhttp.New(callerhttp.Options{
		Executor:     recordingExecutor{d.executor, d.events},
		Addresses:    entryAddresses{d},
		Team:         d.teamByKey,
		Ready:        d.ready,
		PrefixHashes: engine.PrefixHashes,
		Admin:        d.operatorHandler(),
		Logger:       d.log,
	})
}

// currentObjects returns the configuration in force, or nil.
func (d *Daemon) currentObjects() *object.Set {
	s := d.snapshot.Load()
	if s == nil {
		return nil
	}
	return s.Set()
}

func (d *Daemon) teamByKey(key string) (ident.TeamID, bool) {
	s := d.snapshot.Load()
	if s == nil {
		return "", false
	}
	team, ok := s.TeamByAPIKey(key)
	if !ok {
		return "", false
	}
	return ident.TeamID(team.Name), true
}

func (d *Daemon) ready() error {
	if !d.serving() {
		return errNotServing
	}
	return nil
}

// serving reports whether this router accepts new requests: its configuration was confirmed recently and the
// dispatchers are known.
func (d *Daemon) serving() bool {
	return d.routes.Load() != nil && d.syncer.Serving()
}

// liveRouters returns the number of live routers, including this one.
func (d *Daemon) liveRouters() int { return len(d.view().Live()) }

// retryBudget implements execute.RetryBudget.
type retryBudget struct {
	budget *retry.Budget
}

// Deposit implements execute.RetryBudget.
func (r retryBudget) Deposit(team ident.TeamID, pool ident.PoolID) { r.budget.Deposit(team, pool) }

// Allow implements execute.RetryBudget.
func (r retryBudget) Allow(team ident.TeamID, pool ident.PoolID) bool {
	return r.budget.Allow(team, pool)
}

// Backoff implements execute.RetryBudget.
func (r retryBudget) Backoff(attempt int) time.Duration {
	backoff := retry.NewBackoff()
	wait := backoff.Next(0)
	for range attempt - 2 {
		wait = backoff.Next(0)
	}
	return wait
}

// entryAddresses implements callerhttp.AddressResolver.
type entryAddresses struct {
	d *Daemon
}

// Addresses implements callerhttp.AddressResolver.
func (a entryAddresses) Addresses(_ context.Context, q caller.AddressQuery) (caller.AddressAnswer, error) {
	choice := entry.Choose(entry.Query{
		Team:   ident.TeamID(q.Team),
		Caller: q.Caller,
		Domain: ident.DomainID(q.Domain),
	}, a.d.view(), a.d.dispatchers(queriedPool(q)))
	answer := caller.AddressAnswer{LifetimeMS: a.d.settings.AddressLifetime().Milliseconds()}
	for _, address := range choice.Addresses {
		answer.Addresses = append(answer.Addresses, caller.Address{
			Address: address.Address,
			Domain:  string(address.Domain),
		})
	}
	return answer, nil
}

// queriedPool returns the pool of the model or service that a query names, or "" if it names neither.
func queriedPool(q caller.AddressQuery) ident.PoolID {
	switch {
	case q.Model != "":
		return ident.ModelPool(q.Model)
	case q.Service != "":
		return ident.ServicePool(q.Service)
	default:
		return ""
	}
}
