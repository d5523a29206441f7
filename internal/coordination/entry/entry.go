package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

const (
	// MaxAddresses bounds the addresses of one answer.
	MaxAddresses = 3
	// LifetimeSeconds is how long a caller may keep an answer. A draining router serves for at least this long.
	LifetimeSeconds = 10

	// loadedFactor times the mean load of the live routers makes a router loaded.
	loadedFactor = 2
	// loadedFloor is the number of requests below which no router is loaded, however idle the others are. With 64, a
	// dispatcher with a long queue was left out and half of the requests needed messages between routers. A waiting
	// request holds some tens of kilobytes, so this many stay within a node's memory.
	loadedFloor = 1024
)

// Query asks for entry addresses.
type Query struct {
	Team ident.TeamID
	// Caller identifies the caller, such as its IP address. Callers of a team spread by it.
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

// fitness says how well a router can take callers; lower is better.
type fitness int

const (
	fit fitness = iota
	loaded
	suspect
	draining
)

// candidate is a router with what it is sorted by.
type candidate struct {
	membership.Member
	fitness    fitness
	dispatcher bool
	near       bool
	weight     uint64
}

// Choose returns up to MaxAddresses routers: dispatchers of the pool first, then the caller's failure domain, each spread
// by a hash of team and caller. Draining, loaded and suspect routers are left out, unless no other is live: the answer is
// empty only when no live router has a caller address.
func Choose(q Query, view *membership.View, dispatchers []ident.RouterID) Answer {
	list := candidates(q, view, dispatchers)
	slices.SortFunc(list, compare)
	answer := Answer{LifetimeSeconds: LifetimeSeconds}
	for _, c := range list {
		if len(answer.Addresses) == MaxAddresses || c.fitness != list[0].fitness {
			break
		}
		answer.Addresses = append(answer.Addresses, Address{Router: c.ID, Address: c.CallerAddr, Domain: c.Domain})
	}
	return answer
}

// candidates rates the live routers.
func candidates(q Query, view *membership.View, dispatchers []ident.RouterID) []candidate {
	limit := loadLimit(view)
	var list []candidate
	for _, m := range view.Live() {
		if m.CallerAddr == "" {
			continue
		}
		list = append(list, candidate{
			Member:     m,
			fitness:    rate(m, limit),
			dispatcher: slices.Contains(dispatchers, m.ID),
			near:       q.Domain != "" && m.Domain == q.Domain,
			weight:     weight(q, m.ID),
		})
	}
	return list
}

// rate returns a router's fitness.
func rate(m membership.Member, limit uint64) fitness {
	switch {
	case m.Draining:
		return draining
	case m.State != membership.Alive:
		return suspect
	case uint64(m.Load) > limit:
		return loaded
	}
	return fit
}

// loadLimit returns the load above which a router counts as loaded.
func loadLimit(view *membership.View) uint64 {
	var sum, count uint64
	for _, m := range view.Live() {
		if !m.Draining {
			sum += uint64(m.Load)
			count++
		}
	}
	return max(loadedFloor, loadedFactor*sum/max(count, 1))
}

// compare puts the better candidate first.
func compare(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.fitness, b.fitness),
		first(a.dispatcher, b.dispatcher),
		first(a.near, b.near),
		cmp.Compare(b.weight, a.weight),
		cmp.Compare(a.ID, b.ID),
	)
}

// first puts true before false.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// weight is the rendezvous weight of a router for a team and caller, so that all routers answer alike.
func weight(q Query, id ident.RouterID) uint64 {
	d := xxhash.New()
	for _, part := range []string{string(q.Team), q.Caller, string(id)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
