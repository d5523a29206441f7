package entry_test

import (
	"fmt"
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/coordination/entry"
	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// view returns the membership view of r0 after all other members have pinged it. Members r0 to r7 are spread over three
// failure domains.
func view(change func(i int, m *membership.Member)) *membership.View {
	var d *membership.Detector
	for i := range 8 {
		id := ident.RouterID(fmt.Sprintf("r%d", i))
		m := membership.Member{ID: id, Incarnation: 1, State: membership.Alive, CallerAddr: "addr-" + string(id)}
		m.Domain = ident.DomainID(fmt.Sprintf("fd%d", i%3))
		if change != nil {
			change(i, &m)
		}
		if i == 0 {
			d = membership.New(membership.Options{Seed: 1}, m)
			d.SetSelf(m.Draining, 0, m.Load)
			continue
		}
		p := membership.Packet{Kind: membership.Ping, From: m}
		if m.State == membership.Suspect {
			p.From.State = membership.Alive
			d.Receive(0, id, p)
			p = membership.Packet{Kind: membership.Ping, From: membership.Member{ID: "r1", Incarnation: 1, State: 1}}
			p.Updates = []membership.Update{{Member: m}}
			d.Receive(0, "r1", p)
			continue
		}
		d.Receive(0, id, p)
	}
	d.Tick(0)
	return d.View()
}

func routerIDs(a entry.Answer) []ident.RouterID {
	var list []ident.RouterID
	for _, x := range a.Addresses {
		list = append(list, x.Router)
	}
	return list
}

// Guards against answers that do not prefer the pool's dispatcher and then the caller's failure domain.
func TestPrefersDispatcherThenDomain(t *testing.T) {
	for i := range 50 {
		q := entry.Query{Team: "t", Caller: fmt.Sprint(i), Domain: "fd2"}
		a := entry.Choose(q, view(nil), []ident.RouterID{"r4"})
		if len(a.Addresses) != entry.MaxAddresses || a.LifetimeSeconds != 10 {
			t.Fatalf("%+v", a)
		}
		if a.Addresses[0].Router != "r4" || a.Addresses[1].Domain != "fd2" || a.Addresses[2].Domain != "fd2" {
			t.Fatalf("%+v", a)
		}
	}
}

// Guards against sending all callers of a team to one router.
func TestSpreadsCallers(t *testing.T) {
	v := view(nil)
	first := map[ident.RouterID]int{}
	const callers = 800
	for i := range callers {
		first[routerIDs(entry.Choose(entry.Query{Team: "t", Caller: fmt.Sprint(i)}, v, nil))[0]]++
	}
	for _, m := range v.Live() {
		if n := first[m.ID]; n < callers/16 || n > callers/4 {
			t.Errorf("%s is first for %d of %d callers", m.ID, n, callers)
		}
	}
}

// Guards against sending callers to draining, overloaded or suspect routers, and against an empty answer when only such
// routers are live.
func TestExcludesUnsuitableRouters(t *testing.T) {
	states := map[string]func(m *membership.Member){
		"draining": func(m *membership.Member) { m.Draining = true },
		"suspect":  func(m *membership.Member) { m.State = membership.Suspect },
		"loaded":   func(m *membership.Member) { m.Load = 16000 },
	}
	for name, makeUnsuitable := range states {
		someUnsuitable := view(func(i int, m *membership.Member) {
			if i == 4 || i == 5 {
				makeUnsuitable(m)
			}
		})
		for i := range 50 {
			list := routerIDs(entry.Choose(entry.Query{Team: "t", Caller: fmt.Sprint(i)}, someUnsuitable,
				[]ident.RouterID{"r4"}))
			for _, id := range list {
				if id == "r4" || id == "r5" {
					t.Fatalf("%s router in the answer: %v", name, list)
				}
			}
		}
		allUnsuitable := view(func(i int, m *membership.Member) {
			if i > 0 || name == "draining" {
				makeUnsuitable(m)
			}
		})
		if len(entry.Choose(entry.Query{Team: "t"}, allUnsuitable, nil).Addresses) == 0 {
			t.Fatalf("empty answer when the others are %s", name)
		}
	}
}

// Guards against returning draining routers while suspect or overloaded ones could serve.
func TestDrainingRoutersComeLast(t *testing.T) {
	v := view(func(i int, m *membership.Member) {
		m.Draining = i != 3
		if i == 3 {
			m.Load = 5000
		}
	})
	if list := routerIDs(entry.Choose(entry.Query{Team: "t"}, v, nil)); len(list) != 1 || list[0] != "r3" {
		t.Fatalf("%v", list)
	}
}
