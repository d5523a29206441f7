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
	// directFleet is the size of a fleet up to which each router reads the store itself.
	directFleet = 12
	// readerCount is the number of routers that read the store for a larger fleet.
	readerCount = 3
	// readerRole is the key by which the readers are chosen.
	readerRole = "store-readers"
)

// readers implements discovery.Peers: in a large fleet a few live routers read the store for the others.
type readers struct {
	node   *Node
	client *relayhttp.Client
}

var _ discovery.Peers = (*readers)(nil)

// Readers implements discovery.Peers.
func (r *readers) Readers() []string {
	registered := r.node.routers.Load()
	if registered == nil || len(*registered) <= directFleet {
		return nil
	}
	live := []ident.RouterID{ident.RouterID(r.node.settings.Router)}
	for _, p := range r.node.peers.Live(time.Now()) {
		live = append(live, ident.RouterID(p.Router))
	}
	if len(live) <= directFleet {
		return nil
	}
	var addresses []string
	for _, id := range ownership.Top(readerRole, live, readerCount) {
		if string(id) == r.node.settings.Router {
			return nil
		}
		if router, ok := (*registered)[string(id)]; ok {
			addresses = append(addresses, router.PeerAddress)
		}
	}
	return addresses
}

// Changes implements discovery.Peers.
func (r *readers) Changes(ctx context.Context, address string, after kv.Revision, wait time.Duration) (discovery.Relayed, error) {
	return r.client.Changes(ctx, address, after, wait)
}
