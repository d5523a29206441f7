package engineload

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against loads that are counted twice, or still count after their router is gone.
func TestLoadsOfAllRouters(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New()
	table.Add("e1", Load{Running: 1, PendingTokens: 100})
	table.SetPeerLoads(now, "r2", map[string]Load{"e1": {Running: 2, PendingTokens: 50}, "e2": {Running: 1}})
	g.Expect(table.Total("e1")).To(Equal(Load{Running: 3, PendingTokens: 150}))
	table.SetPeerLoads(now, "r2", map[string]Load{"e1": {Running: 1}})
	g.Expect(table.Total("e1")).To(Equal(Load{Running: 2, PendingTokens: 100}))
	g.Expect(table.Total("e2")).To(Equal(Load{}))
	table.Expire(now.Add(reportLifetime + time.Millisecond))
	g.Expect(table.Total("e1")).To(Equal(Load{Running: 1, PendingTokens: 100}))
	table.Remove("e1", Load{Running: 1, PendingTokens: 100})
	g.Expect(table.Own()).To(BeEmpty())
}

// Guards against a router that uses the sum of old reports although the owner has reported the total, and against a
// total that lacks what the router has sent since.
func TestTotalsOfOwners(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New()
	table.Add("e", Load{Running: 1, PendingTokens: 100})
	table.SetPeerLoad(now, "r2", "e", Load{Running: 9})
	table.SetTotal(now, "e", Load{Running: 4, PendingTokens: 500})
	g.Expect(table.Total("e")).To(Equal(Load{Running: 4, PendingTokens: 500}))
	table.Add("e", Load{Running: 1, PendingTokens: 50})
	g.Expect(table.Total("e")).To(Equal(Load{Running: 5, PendingTokens: 550}))
	table.SetTotal(now, "e", Load{})
	g.Expect(table.Total("e")).To(Equal(Load{Running: 2, PendingTokens: 150}), "at least the router's own load")
	table.Remove("e", Load{Running: 2, PendingTokens: 150})
	g.Expect(table.Total("e")).To(Equal(Load{}))
	g.Expect(table.TakeChanged()).To(Equal([]string{"e"}))
	g.Expect(table.TakeChanged()).To(BeEmpty())
	table.Expire(now.Add(totalLifetime + time.Millisecond))
	g.Expect(table.Total("e")).To(Equal(Load{Running: 9}))
}

// Guards against a new owner that considers a busy server idle until the other routers have reported their loads, and
// against one that uses its old total for too long.
func TestAdoptedServer(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New()
	table.SetTotal(now, "e", Load{Running: 20})
	table.Adopt(now, "e")
	table.Adopt(now, "unknown")
	table.Reserve(now, "r2", "e", Load{Running: 1}, Load{Running: 3})
	g.Expect(table.Total("e")).To(Equal(Load{Running: 21}))
	table.SetPeerLoad(now, "r3", "e", Load{Running: 15})
	table.Expire(now.Add(adoptedTotalLifetime + time.Millisecond))
	g.Expect(table.Total("e")).To(Equal(Load{Running: 18}))
	table.SetPeerLoad(now, "r3", "e", Load{})
	g.Expect(table.Total("e")).To(Equal(Load{Running: 3}))
}
