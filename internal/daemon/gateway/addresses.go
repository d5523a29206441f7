package gateway

import (
	"math"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/balance"
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
)

// addressLifetime returns how long clients may cache an answer of the directory.
func (n *Node) addressLifetime() time.Duration {
	return min(maxAddressLifetime, n.settings.Bounds.MaxAddressLifetime)
}

// maxAddressLifetime bounds how long clients cache addresses. It is short so that clients soon stop using a router that
// drains.
const maxAddressLifetime = 2 * time.Second

// maxAddresses is the maximum number of addresses in one answer of the directory. Clients use no more.
const maxAddresses = 64

// addresses returns the addresses of routers for a client in a failure domain.
func (n *Node) addresses(domain string) []string {
	var candidates []balance.Candidate
	if n.ready() {
		candidates = append(candidates, balance.Candidate{
			Router: n.settings.Router, Address: n.settings.CallerListen, SameDomain: n.settings.FailureDomain == domain,
			Busy: n.busy.Load(), Cores: n.settings.Cores, Rate: math.Float64frombits(n.ownRate.Load()),
		})
	}
	for _, p := range n.readyPeers() {
		if p.CallerAddress != "" {
			candidates = append(candidates, candidate(p, domain))
		}
	}
	list := balance.Choose(candidates)
	return list[:min(len(list), maxAddresses)]
}

// candidate returns another router as a candidate for clients in a failure domain.
func candidate(p gossip.Peer, domain string) balance.Candidate {
	return balance.Candidate{
		Router: p.Router, Address: p.CallerAddress, SameDomain: p.Domain == domain, Busy: p.Busy,
		Cores: float64(p.Cores), Rate: float64(p.Rate),
	}
}
