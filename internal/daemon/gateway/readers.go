package gateway

import (
	"context"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/discovery"
	"gooseberrytide.example/gooseberrytide/internal/coordination/ownership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/transport/relayhttp"
)

const (
	// maxDirectFleet is the size of a fleet up to which each router reads the store itself and loads have no owners.
	maxDirectFleet = 12
	// storeReaderCount is the number of routers that read the store for a larger fleet.
	storeReaderCount = 3
	// storeReaderKey is the key of the rendezvous ranking that selects the readers.
	storeReaderKey = "store-readers"
)

// storeReaders implements discovery.Peers. In a large fleet a few live routers read the store for the others.
type storeReaders struct {
	node   *Node
	client *relayhttp.Client
}

var _ discovery.Peers = (*storeReaders)(nil)

// Readers implements discovery.Peers.
func (r *storeReaders) Readers() []string {
	registered := r.node.routers.Load()
	if registered == nil || len(*registered) <= maxDirectFleet {
		return nil
	}
	live := []ident.RouterID{ident.RouterID(r.node.settings.Router)}
	for _, p := range r.node.peers.Live(time.Now()) {
		live = append(live, ident.RouterID(p.Router))
	}
	if len(live) <= maxDirectFleet {
		return nil
	}
	var addresses []string
	for _, id := range ownership.Top(storeReaderKey, live, storeReaderCount) {
		if string(id) == r.node.settings.Router {
			return nil
		}
		if router, ok := (*registered)[string(id)]; ok {
			addresses = append(addresses, router.PeerAddress.String())
		}
	}
	return addresses
}

// Changes implements discovery.Peers.
func (r *storeReaders) Changes(
	ctx context.Context, address string, after kv.Position, wait time.Duration,
) (discovery.Relayed, error) {
	return r.client.Changes(ctx, address, after, wait)
}
