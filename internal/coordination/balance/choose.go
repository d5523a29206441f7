package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a router that clients may be told of.
type Candidate struct {
	Router  string
	Address string
	// Near says that it stands in the client's failure domain.
	Near bool
	// Busy routers are left out while others remain.
	Busy  bool
	Cores float64
	// Rate is its rate of requests per second.
	Rate float64
}

const (
	// minActive is the number of routers that take clients at least: the loss of one then breaks few requests.
	minActive = 8
	// coresPerRequest is the processor time that one request per second takes, refused ones included, as measured in a fleet
	// of 65 routers.
	coresPerRequest = 0.001
	// utilisation is the part of the processors of the chosen routers that the load may take. Busy routers are left out,
	// so that a low estimate mends itself.
	utilisation = 0.8
)

// Choose returns the addresses for an answer of the directory, those near the client first. It names the smallest set of
// routers that carries the load, those with most of a processor first: the fewer routers place requests, the better each
// knows the load that the others put on the engines. The others are its reserve. All routers choose the same set.
func Choose(candidates []Candidate) []string {
	idle := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Busy })
	if len(idle) < min(minActive, len(candidates)) {
		idle = slices.Clone(candidates)
	}
	slices.SortFunc(idle, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(b.Cores, a.Cores),
			cmp.Compare(xxhash.Sum64String(a.Router), xxhash.Sum64String(b.Router)),
		)
	})
	chosen := idle[:needed(idle, totalRate(candidates))]
	slices.SortStableFunc(chosen, func(a, b Candidate) int {
		switch {
		case a.Near == b.Near:
			return 0
		case a.Near:
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

func totalRate(candidates []Candidate) float64 {
	rate := 0.0
	for _, c := range candidates {
		rate += c.Rate
	}
	return rate
}

// needed returns how many of the routers, in order, carry a rate of requests. An unknown size of a processor counts as
// enough.
func needed(order []Candidate, rate float64) int {
	want := rate * coresPerRequest / utilisation
	cores := 0.0
	for i, c := range order {
		if i >= minActive && cores >= want {
			return i
		}
		if c.Cores <= 0 {
			cores = math.Inf(1)
		}
		cores += c.Cores
	}
	return len(order)
}
