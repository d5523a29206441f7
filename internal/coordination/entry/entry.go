package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

const (
	// MaxAddresses bounds the number of addresses in one answer.
	MaxAddresses = 3
	// LifetimeSeconds is how long a caller may cache an answer. A draining router serves for at least this long.
	LifetimeSeconds = 10

	// overloadFactor is the multiple of the mean load of the routers that do not drain above which a router is overloaded.
	overloadFactor = 2
	// minOverload is the number of requests up to which no router is overloaded, however idle the others are. With 64, a
	// dispatcher with a long queue was left out and half of the requests needed messages between routers. A waiting
	// request holds some tens of kilobytes, so 1024 of them fit into a node's memory.
	minOverload = 1024
)

// Query asks for the addresses that a caller may connect to.
type Query struct {
	Team ident.TeamID
	// Caller identifies the caller, for example by its IP address. It spreads the callers of a team over the routers.
	Caller string
	// Domain is the caller's failure domain; empty means unknown.
	Domain ident.DomainID
}

// Address is one router that callers may connect to.
type Address struct {
	Router  ident.RouterID `json:"router"`
	Address string         `json:"address"`
	Domain  ident.DomainID `json:"domain,omitempty"`
}

// Answer lists addresses, best first.
type Answer struct {
	Addresses       []Address `json:"addresses"`
	LifetimeSeconds int       `json:"lifetime_seconds"`
}

// suitability ranks how well a router can take callers; lower is better.
type suitability int

const (
	suitable suitability = iota
	overloaded
	suspect
	draining
)

// candidate is a router with its sort keys.
type candidate struct {
	membership.Member
	suitability  suitability
	isDispatcher bool
	// sameDomain says that the router is in the caller's failure domain.
	sameDomain bool
	weight     uint64
}

// Choose returns up to MaxAddresses routers: dispatchers of the pool first, then routers in the caller's failure
// domain, each group ordered by a hash of team and caller. Overloaded, suspect and draining routers are returned, in
// this order of preference, only if no better one is live. The answer is empty only when no live router has a caller
// address.
func Choose(q Query, view *membership.View, dispatchers []ident.RouterID) Answer {
	list := candidates(q, view, dispatchers)
	slices.SortFunc(list, compare)
	answer := Answer{LifetimeSeconds: LifetimeSeconds}
	for _, c := range list {
		if len(answer.Addresses) == MaxAddresses || c.suitability != list[0].suitability {
			break
		}
		answer.Addresses = append(answer.Addresses, Address{Router: c.ID, Address: c.CallerAddr, Domain: c.Domain})
	}
	return answer
}

// candidates returns the live routers that have a caller address, with their sort keys.
func candidates(q Query, view *membership.View, dispatchers []ident.RouterID) []candidate {
	threshold := overloadThreshold(view)
	var list []candidate
	for _, m := range view.Live() {
		if m.CallerAddr == "" {
			continue
		}
		list = append(list, candidate{
			Member:       m,
			suitability:  classify(m, threshold),
			isDispatcher: slices.Contains(dispatchers, m.ID),
			sameDomain:   q.Domain != "" && m.Domain == q.Domain,
			weight:       weight(q, m.ID),
		})
	}
	return list
}

// classify returns a router's suitability.
func classify(m membership.Member, threshold uint64) suitability {
	switch {
	case m.Draining:
		return draining
	case m.State != membership.Alive:
		return suspect
	case uint64(m.Load) > threshold:
		return overloaded
	}
	return suitable
}

// overloadThreshold returns the load above which a router counts as overloaded.
func overloadThreshold(view *membership.View) uint64 {
	var sum, count uint64
	for _, m := range view.Live() {
		if !m.Draining {
			sum += uint64(m.Load)
			count++
		}
	}
	return max(minOverload, overloadFactor*sum/max(count, 1))
}

// compare orders candidates from best to worst.
func compare(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.suitability, b.suitability),
		trueFirst(a.isDispatcher, b.isDispatcher),
		trueFirst(a.sameDomain, b.sameDomain),
		cmp.Compare(b.weight, a.weight),
		cmp.Compare(a.ID, b.ID),
	)
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// weight returns the rendezvous weight of a router for a team and caller, so that all routers give the same answer.
func weight(q Query, id ident.RouterID) uint64 {
	d := xxhash.New()
	for _, part := range []string{string(q.Team), q.Caller, string(id)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
