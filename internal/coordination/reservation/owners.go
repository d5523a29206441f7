package reservation

import (
	"gooseberrytide.example/gooseberrytide/internal/coordination/ownership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Candidate is a router that may own the loads of servers.
type Candidate struct {
	Router string
	// Domain is the router's failure domain.
	Domain string
	// Cores is the number of CPU cores that the router may use, often a fraction of one.
	Cores float64
	// KnowsYielding is set if the router understands a YieldingPermitRequest.
	KnowsYielding bool
}

// minCoresRatio is the ratio to the cores of the largest router from which a router may be an owner. Small routers have
// little CPU time left beside their own clients.
const minCoresRatio = 0.5

// Owners returns the owner of each server. servers maps servers to their failure domains. Routers in the server's
// domain are preferred, because most requests for a server come from there. The result is empty if there are no
// candidates.
func Owners(servers map[string]string, candidates []Candidate) map[string]string {
	eligible, _ := SplitByCores(candidates)
	byDomain := make(map[string][]ident.RouterID)
	var all []ident.RouterID
	for _, c := range eligible {
		byDomain[c.Domain] = append(byDomain[c.Domain], ident.RouterID(c.Router))
		all = append(all, ident.RouterID(c.Router))
	}
	owners := make(map[string]string, len(servers))
	for server, domain := range servers {
		sameDomain := byDomain[domain]
		if len(sameDomain) == 0 {
			sameDomain = all
		}
		for _, id := range ownership.Top(server, sameDomain, 1) {
			owners[server] = string(id)
		}
	}
	return owners
}

// SplitByCores returns the candidates with enough cores to serve other routers beside their own clients, as an owner or a
// relay, and the other candidates.
func SplitByCores(candidates []Candidate) (enough, tooFew []Candidate) {
	maxCores := 0.0
	for _, c := range candidates {
		maxCores = max(maxCores, c.Cores)
	}
	for _, c := range candidates {
		if c.Cores >= minCoresRatio*maxCores {
			enough = append(enough, c)
		} else {
			tooFew = append(tooFew, c)
		}
	}
	return enough, tooFew
}
