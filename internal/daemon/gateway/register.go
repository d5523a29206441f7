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
	// registrationTTL is the lifetime of a router's entry without renewal. Liveness is determined by reports; the entry
	// only holds the address to send them to.
	registrationTTL = 20 * time.Second
	// renewPeriod is the time between renewals. It leaves time for two failed renewals within registrationTTL.
	renewPeriod = 6 * time.Second
	// registerTimeout bounds one attempt to register, renew or unregister.
	registerTimeout = 2 * time.Second
)

// register keeps the router registered in the store until ctx ends, and then removes its entry.
func (n *Node) register(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	b.MaxInterval = 2 * time.Second
	var lease kv.LeaseID
	for ctx.Err() == nil {
		err := n.renewOrRegister(ctx, &lease)
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

// renewOrRegister renews the lease. If there is none or it has expired, it requests a new one and writes the entry.
func (n *Node) renewOrRegister(ctx context.Context, lease *kv.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if *lease != 0 {
		err := n.store.Renew(ctx, *lease)
		if !errors.Is(err, kv.ErrNotFound) {
			return err
		}
	}
	*lease = 0
	id, _, err := n.store.Grant(ctx, registrationTTL)
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

// unregister removes the router's entry from the store by revoking its lease.
func (n *Node) unregister(ctx context.Context, lease kv.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), registerTimeout)
	defer cancel()
	if err := n.store.Revoke(ctx, lease); err != nil {
		n.log.Info("entry not removed, it expires with its lease", logfield.Error(err))
	}
}
