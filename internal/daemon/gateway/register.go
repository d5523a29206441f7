package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/discovery"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/platform"
)

const (
	// registrationLease is the lifetime of a router's entry without renewal. Liveness is known from reports; the entry
	// only tells where to send them.
	registrationLease = 20 * time.Second
	// renewPeriod leaves time for two failed renewals.
	renewPeriod = 6 * time.Second
	// registerTimeout bounds one call.
	registerTimeout = 2 * time.Second
)

// register keeps the router's entry in the store.
func (n *Node) register(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	b.MaxInterval = 2 * time.Second
	var lease kv.LeaseID
	for ctx.Err() == nil {
		err := n.keepRegistered(ctx, &lease)
		wait := renewPeriod
		if err != nil {
			n.log.Warn("registration failed", logfield.Error(err))
			wait = b.NextBackOff()
		} else {
			b.Reset()
		}
		periodic.Sleep(ctx, wait)
	}
	n.unregister(ctx, lease)
}

// keepRegistered renews the lease, or begins one and writes the entry.
func (n *Node) keepRegistered(ctx context.Context, lease *kv.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if *lease != 0 {
		err := n.store.Renew(ctx, *lease)
		if !errors.Is(err, kv.ErrNotFound) {
			return err
		}
	}
	*lease = 0
	id, _, err := n.store.Grant(ctx, registrationLease)
	if err != nil {
		return err
	}
	key, value, err := platform.EncodeRouter(discovery.Router{
		ID:          n.settings.Router,
		PeerAddress: netip.AddrPortFrom(n.settings.IP, uint16(n.settings.PeerPort)).String(),
		Incarnation: n.incarnation,
	})
	if err != nil {
		return err
	}
	if err := n.store.PutLeased(ctx, key, value, id); err != nil {
		return err
	}
	*lease = id
	return nil
}

// unregister removes the entry of a router that stops.
func (n *Node) unregister(ctx context.Context, lease kv.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), registerTimeout)
	defer cancel()
	if err := n.store.Revoke(ctx, lease); err != nil {
		n.log.Info("entry not removed, it ends with its lease", logfield.Error(err))
	}
}
