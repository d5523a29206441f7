package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a router that clients may be directed to.
type Candidate struct {
	Router  string
	Address string
	// OffloadAddress is the address for connections that another router passes on.
	OffloadAddress string
	// SameDomain is set if the router is in the client's failure domain.
	SameDomain bool
	// Busy routers are left out while enough others remain.
	Busy bool
	// Cores is the number of CPU cores that the router may use; 0 means unknown.
	Cores float64
	// Rate is the router's request rate, in requests per second.
	Rate float64
}

const (
	// minActive is the minimum number of routers that take clients, so that the loss of one breaks few requests.
	minActive = 8
	// coresPerRequest is the number of CPU cores that one request per second uses in a fleet of 65 routers, with
	// refused requests included.
	coresPerRequest = 0.001
	// targetUtilisation is the fraction of the chosen routers' CPU that the load may use. If coresPerRequest is too
	// low, routers become busy and are left out, so that more of the others are chosen.
	targetUtilisation = 0.8
)

// Choose returns the addresses for an answer of the directory, those in the client's failure domain first. It chooses
// the smallest set of routers that can carry the load, those with the most cores first: the fewer routers place
// requests, the better each knows the load that the others put on the engines. The remaining routers are a reserve. All
// routers choose the same set.
func Choose(candidates []Candidate) []string {
	chosen := chooseCandidates(candidates)
	slices.SortStableFunc(chosen, func(a, b Candidate) int {
		switch {
		case a.SameDomain == b.SameDomain:
			return 0
		case a.SameDomain:
			return -1
		default:
			return 1
		}
	})
	addresses := make([]string, len(chosen))
	for i, c := range chosen {
		addresses[i] = c.Address
	}
	return addresses
}

// Preferred returns the names of the chosen routers and of the next ones in the order of the choice.
func Preferred(candidates []Candidate, next int) []string {
	available := sortedAvailable(candidates)
	n := min(requiredRouters(available, totalRate(candidates))+next, len(available))
	names := make([]string, n)
	for i, c := range available[:n] {
		names[i] = c.Router
	}
	return names
}

// chooseCandidates returns the routers that take clients, those with the most cores first.
func chooseCandidates(candidates []Candidate) []Candidate {
	available := sortedAvailable(candidates)
	return available[:requiredRouters(available, totalRate(candidates))]
}

// sortedAvailable returns the routers that may take clients in the order of the choice.
func sortedAvailable(candidates []Candidate) []Candidate {
	available := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Busy })
	if len(available) < min(minActive, len(candidates)) {
		available = slices.Clone(candidates)
	}
	slices.SortFunc(available, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(b.Cores, a.Cores),
			cmp.Compare(xxhash.Sum64String(a.Router), xxhash.Sum64String(b.Router)),
		)
	})
	return available
}

func totalRate(candidates []Candidate) float64 {
	rate := 0.0
	for _, c := range candidates {
		rate += c.Rate
	}
	return rate
}

// requiredRouters returns how many routers, taken in order, are needed for a request rate. A router with an unknown
// number of cores counts as sufficient for any rate.
func requiredRouters(candidates []Candidate, rate float64) int {
	requiredCores := rate * coresPerRequest / targetUtilisation
	cores := 0.0
	for i, c := range candidates {
		if i >= minActive && cores >= requiredCores {
			return i
		}
		if c.Cores <= 0 {
			cores = math.Inf(1)
		}
		cores += c.Cores
	}
	return len(candidates)
}
