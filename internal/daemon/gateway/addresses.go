package gateway

import (
	"math"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/balance"
)

// addressLifetime is how long clients may keep an answer of the directory.
func (n *Node) addressLifetime() time.Duration {
	return min(longestLifetime, n.settings.Bounds.MaxAddressLifetime)
}

// longestLifetime bounds how long clients keep addresses; a short one takes them off a leaving router soon.
const longestLifetime = 2 * time.Second

// maxAddresses is the number of addresses of an answer that clients use.
const maxAddresses = 64

// addresses returns routers for a client in a failure domain.
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
			candidates = append(candidates, balance.Candidate{
				Router: p.Router, Address: p.CallerAddress, SameDomain: p.Domain == domain, Busy: p.Busy,
				Cores: float64(p.Cores), Rate: float64(p.Rate),
			})
		}
	}
	list := balance.Choose(candidates)
	return list[:min(len(list), maxAddresses)]
}
