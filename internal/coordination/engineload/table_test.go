package engineload

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against loads that are counted twice or stay after their router is gone.
func TestLoadsOfAllRouters(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New()
	table.Add("e1", Load{Running: 1, PendingTokens: 100})
	table.SetPeer(now, "r2", map[string]Load{"e1": {Running: 2, PendingTokens: 50}, "e2": {Running: 1}})
	g.Expect(table.Of("e1")).To(Equal(Load{Running: 3, PendingTokens: 150}))
	table.SetPeer(now, "r2", map[string]Load{"e1": {Running: 1}})
	g.Expect(table.Of("e1")).To(Equal(Load{Running: 2, PendingTokens: 100}))
	g.Expect(table.Of("e2")).To(Equal(Load{}))
	table.Expire(now.Add(reportLifetime + time.Millisecond))
	g.Expect(table.Of("e1")).To(Equal(Load{Running: 1, PendingTokens: 100}))
	table.Remove("e1", Load{Running: 1, PendingTokens: 100})
	g.Expect(table.Own()).To(BeEmpty())
}
