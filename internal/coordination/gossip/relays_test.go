package gossip

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against routers that keep reporting to relays which are lost, or change relays without need.
func TestSilentRelaysAreReplaced(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	r := NewRelays("own")
	ranked := []string{"a", "b", "c", "d", "e"}
	choose := func(signs map[string]time.Time) map[string]bool { return r.Choose(now, ranked, signs) }
	for range 20 {
		g.Expect(choose(nil)).To(Equal(map[string]bool{"a": true, "b": true, "c": true}))
		now = now.Add(RelayPeriod)
		for relay := range choose(nil) {
			r.Heard(now, relay)
		}
	}
	now = now.Add(relayTimeout)
	r.Heard(now, "a")
	now = now.Add(time.Millisecond)
	g.Expect(choose(nil)).To(Equal(map[string]bool{"a": true, "d": true, "e": true}))
	now = now.Add(time.Minute)
	g.Expect(choose(nil)).To(BeEmpty())
	g.Expect(choose(map[string]time.Time{"b": now})).To(Equal(map[string]bool{"b": true}), "a sign of life")
	r.Heard(now, "c")
	g.Expect(choose(nil)).To(HaveKey("c"))
}

// Guards against a router that does not serve as a relay although the others chose it.
func TestOwnRouterIsNeverSilent(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	r := NewRelays("own")
	ranked := []string{"a", "own", "b", "c"}
	g.Expect(r.Choose(now, ranked, nil)).To(Equal(map[string]bool{"a": true, "own": true, "b": true}))
	now = now.Add(time.Minute)
	g.Expect(r.Choose(now, ranked, nil)).To(Equal(map[string]bool{"own": true, "c": true}))
}
