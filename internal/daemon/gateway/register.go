package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/platform"
)

const (
	// registrationTTL is the lifetime of a router's entry without renewal. Liveness is determined by reports; the entry
	// only holds the address to send them to.
	registrationTTL = 20 * time.Second
	// renewPeriod is the time between renewals. It leaves time for two failed renewals within registrationTTL.
	renewPeriod = 6 * time.Second
	// registerTimeout bounds one attempt to register, renew or unregister.
	registerTimeout = 2 * time.Second
	// reregisterSpread is the time over which the routers register anew after the store has lost their entries, because it
	// came back from an older copy or because leases ended. Entries that a copy has lost are kept in memory for longer.
	reregisterSpread = time.Second
)

// register keeps the router registered in the store until ctx ends, and then removes its entry.
func (n *Node) register(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	b.MaxInterval = 2 * time.Second
	var lease registration
	for ctx.Err() == nil {
		err := n.renewOrRegister(ctx, &lease)
		wait := renewPeriod
		if err != nil {
			n.log.Warn("registration failed", logfield.Error(err))
			wait = b.NextBackOff()
		} else {
			b.Reset()
		}
		n.sleepUntilRestored(ctx, wait)
	}
	n.unregister(ctx, lease)
}

// registration is the lease of this router's entry and the store's era in which it was granted. In another era the
// lease's number may belong to another router.
type registration struct {
	lease kv.LeaseID
	era   kv.Era
	// writtenAt is when the entry was last written. It is zero if that has not succeeded: the lease is then used for the
	// next attempt, so that a write which is executed late does not put the entry under a lease that is not renewed.
	writtenAt time.Time
}

// sleepUntilRestored waits for d, or until the store has come back from an older copy or has lost this router's entry and a
// random part of reregisterSpread has passed.
func (n *Node) sleepUntilRestored(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.restored:
		periodic.Sleep(ctx, rand.N(reregisterSpread))
	case <-n.entry.lost:
		periodic.Sleep(ctx, rand.N(reregisterSpread))
	}
}

// onRestored makes the router register anew.
func (n *Node) onRestored() {
	select {
	case n.restored <- struct{}{}:
	default:
	}
}

// renewOrRegister renews the lease. If there is none or it has expired, it requests a new one. It writes the entry if
// that is not the one in the store.
func (n *Node) renewOrRegister(ctx context.Context, r *registration) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := n.renew(ctx, r); err != nil {
		return err
	}
	now := time.Now()
	lost := n.entry.mustRewrite(now) && now.Sub(r.writtenAt) >= entryReadTime
	switch {
	case r.writtenAt.IsZero():
		return n.writeEntry(ctx, r)
	case lost:
		n.log.Warn("own entry lost, registering again")
		n.entry.rewrites.Inc()
		return n.writeEntry(ctx, r)
	default:
		return nil
	}
}

// renew renews the lease, or requests a new one if there is none in this era or it has expired.
func (n *Node) renew(ctx context.Context, r *registration) error {
	if r.lease != 0 && r.era == n.store.Era() {
		err := n.store.Renew(ctx, r.lease)
		if !errors.Is(err, kv.ErrNotFound) {
			return err
		}
	}
	*r = registration{}
	era := n.store.Era()
	id, _, err := n.store.Grant(ctx, registrationTTL)
	if err != nil {
		return err
	}
	r.lease, r.era = id, era
	return nil
}

// writeEntry writes the entry under the lease.
func (n *Node) writeEntry(ctx context.Context, r *registration) error {
	key, value, err := platform.EncodeRouter(n.ownEntry())
	if err != nil {
		return err
	}
	if err := n.store.PutLeased(ctx, key, value, r.lease); err != nil {
		return err
	}
	r.writtenAt = time.Now()
	n.entry.written.Store(true)
	n.entry.overwritten.Store(false)
	return nil
}

// unregister removes the router's entry from the store by revoking its lease.
func (n *Node) unregister(ctx context.Context, r registration) {
	if r.lease == 0 || r.era != n.store.Era() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), registerTimeout)
	defer cancel()
	if err := n.store.Revoke(ctx, r.lease); err != nil {
		n.log.Info("entry not removed, it expires with its lease", logfield.Error(err))
	}
}
