package reservation

import (
	"gooseberrytide.example/gooseberrytide/internal/coordination/ownership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Candidate is a router that may keep the loads of servers.
type Candidate struct {
	Router string
	Domain string
	// Cores is the router's part of a processor.
	Cores float64
}

// strongPart is the part of the largest router's processor from which a router is an owner. Small routers have little to
// spare beside their own clients.
const strongPart = 0.5

// Owners names the owner of each server. Servers are given with their failure domains; a router in the same domain is
// preferred, as most requests for a server come from there. The result is empty without candidates.
func Owners(servers map[string]string, candidates []Candidate) map[string]string {
	strong := strongest(candidates)
	byDomain := make(map[string][]ident.RouterID)
	var all []ident.RouterID
	for _, c := range strong {
		byDomain[c.Domain] = append(byDomain[c.Domain], ident.RouterID(c.Router))
		all = append(all, ident.RouterID(c.Router))
	}
	owners := make(map[string]string, len(servers))
	for server, domain := range servers {
		near := byDomain[domain]
		if len(near) == 0 {
			near = all
		}
		for _, id := range ownership.Top(server, near, 1) {
			owners[server] = string(id)
		}
	}
	return owners
}

// strongest returns the candidates with enough of a processor.
func strongest(candidates []Candidate) []Candidate {
	most := 0.0
	for _, c := range candidates {
		most = max(most, c.Cores)
	}
	var strong []Candidate
	for _, c := range candidates {
		if c.Cores >= strongPart*most {
			strong = append(strong, c)
		}
	}
	return strong
}
