package memory

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const mb = 1 << 20

// open opens a holder that may be ended. ended counts its ends.
func open(t *testing.T, a *Account, team string, bytes int64, ended *int) *Holder {
	t.Helper()
	h, ok := a.Open(team, bytes, func() bool {
		*ended++
		return true
	})
	if !ok {
		t.Fatalf("%s is refused %d bytes", team, bytes)
	}
	h.SetMayEnd(true)
	return h
}

// Guards against a team that sends many bodies and takes the memory of a team that sends few: the largest holder of the
// larger team is ended instead.
func TestLargestTeamYieldsItsLargestHolder(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(10 * mb)
	var large, middle, small int
	largest := open(t, a, "hot", 5*mb, &large)
	open(t, a, "hot", 3*mb, &middle)
	open(t, a, "farm", 2*mb, &small)
	_, ok := a.Open("farm", mb, nil)
	g.Expect(ok).To(BeTrue())
	g.Expect([]int{large, middle, small}).To(Equal([]int{1, 0, 0}))
	g.Expect(largest.Grow(1)).To(BeFalse(), "it has been ended")
	g.Expect(a.Used()).To(BeEquivalentTo(11 * mb))
	largest.Close()
	g.Expect(a.Used()).To(BeEquivalentTo(6 * mb))
}

// Guards against requests of one team that end one another, so that none completes: the one that asks is refused unless
// another one holds more.
func TestLargestHolderOfTheTeamIsRefused(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(10 * mb)
	var ended int
	for range 5 {
		open(t, a, "hot", 2*mb, &ended)
	}
	_, ok := a.Open("hot", 2*mb, nil)
	g.Expect(ok).To(BeFalse())
	g.Expect(ended).To(BeZero())
	_, ok = a.Open("hot", mb/2, nil)
	g.Expect(ok).To(BeTrue(), "a small request goes before a large one")
	g.Expect(ended).To(Equal(1))
}

// Guards against running requests of one team, which are not ended, that take the memory of all others.
func TestOtherTeamsGetMemoryBesideRunningRequests(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(10 * mb)
	for range 10 {
		_, ok := a.Open("hot", mb, nil)
		g.Expect(ok).To(BeTrue())
	}
	_, ok := a.Open("hot", 1, nil)
	g.Expect(ok).To(BeFalse())
	for range 2 {
		_, ok = a.Open("farm", mb, nil)
		g.Expect(ok).To(BeTrue())
	}
	_, ok = a.Open("farm", mb, nil)
	g.Expect(ok).To(BeFalse(), "above the limit and the overdraft")
}

// Guards against a holder that could not be ended and counts as ended for ever, and against one that has been chosen and
// goes on to run.
func TestHolderThatCannotBeEnded(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(10 * mb)
	h, ok := a.Open("hot", 9*mb, func() bool { return false })
	g.Expect(ok).To(BeTrue())
	g.Expect(h.SetMayEnd(true)).To(BeTrue())
	_, ok = a.Open("farm", 2*mb, nil)
	g.Expect(ok).To(BeTrue())
	g.Expect(h.SetMayEnd(false)).To(BeTrue())
	chosen, ok := a.Open("hot", mb, func() bool { return true })
	g.Expect(ok).To(BeFalse())
	g.Expect(chosen).To(BeNil())
	h.Close()
	g.Expect(a.ending).To(BeZero())
}

// Guards against sums that drift from the holders: the account would refuse everything after a while, or nothing.
func TestSumsFollowTheHolders(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		a := NewAccount(100)
		teams := []string{"a", "b", "c"}
		var holders []*Holder
		pick := func() *Holder {
			if len(holders) == 0 {
				return nil
			}
			return rapid.SampledFrom(holders).Draw(r, "holder")
		}
		r.Repeat(map[string]func(*rapid.T){
			"open": func(r *rapid.T) {
				ends := rapid.Bool().Draw(r, "ends")
				h, ok := a.Open(rapid.SampledFrom(teams).Draw(r, "team"), rapid.Int64Range(0, 60).Draw(r, "bytes"),
					func() bool { return ends })
				if ok {
					holders = append(holders, h)
				}
			},
			"grow":   func(r *rapid.T) { pick().Grow(rapid.Int64Range(0, 60).Draw(r, "bytes")) },
			"mayEnd": func(r *rapid.T) { pick().SetMayEnd(rapid.Bool().Draw(r, "may end")) },
			"move":   func(r *rapid.T) { pick().Move(rapid.SampledFrom(teams).Draw(r, "team")) },
			"close":  func(*rapid.T) { pick().Close() },
			"": func(r *rapid.T) {
				var used, ending int64
				for _, h := range holders {
					used += h.bytes
					if h.ended {
						ending += h.bytes
					}
				}
				if used != a.used || ending != a.ending || used > a.hardLimit {
					r.Fatalf("used %d, ending %d; the holders sum up to %d, %d", a.used, a.ending, used, ending)
				}
			},
		})
		for _, h := range holders {
			h.Close()
		}
		if a.used != 0 || a.ending != 0 || len(a.teams) != 0 {
			r.Fatalf("after all holders are closed: %d used, %d ending, %d teams", a.used, a.ending, len(a.teams))
		}
	})
}

// Guards against races between reservations, ends and releases.
func TestConcurrentHolders(t *testing.T) {
	a := NewAccount(64 << 10)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for range 500 {
				h, ok := a.Open([]string{"a", "b"}[i%2], 4<<10, func() bool { return i%3 > 0 })
				if !ok {
					continue
				}
				h.SetMayEnd(true)
				h.Grow(8 << 10)
				h.Move("c")
				h.Shrink(1 << 10)
				h.Close()
			}
		})
	}
	group.Wait()
	if used := a.Used(); used != 0 {
		t.Fatalf("%d bytes are left", used)
	}
}

func BenchmarkRequest(b *testing.B) {
	a := NewAccount(40 * mb)
	a.Open("farm", 20<<10, nil) // the request's connection
	for b.Loop() {
		h, _ := a.Open("farm", 16<<10, nil)
		h.Grow(4 << 10)
		h.Close()
	}
}

// Load pattern: a team has thousands of idle connections that together fill the account. Guards against its small requests
// that are refused because each connection is smaller than a request, and against a large response that ends the connections.
func TestRequestsTakeThePlaceOfIdleConnections(t *testing.T) {
	g := NewWithT(t)
	const connection = 20 << 10
	a := NewAccount(100 * connection)
	ended := 0
	for range 100 {
		var h *Holder
		h, _ = a.Open("farm", connection, func() bool {
			ended++
			go h.Close()
			return true
		})
		h.SetIdle()
	}
	request, ok := a.Open("farm", 16<<10, nil)
	g.Expect(ok).To(BeTrue())
	g.Expect(request.Grow(8 << 10)).To(BeTrue())
	g.Expect(ended).To(BeNumerically(">=", 2))
	before := ended
	_, ok = a.Open("farm", 1<<20, nil)
	g.Expect(ok).To(BeFalse())
	g.Expect(ended).To(Equal(before))
}
