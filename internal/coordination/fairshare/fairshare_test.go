package fairshare

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against service that never decays, and against usage at lost routers that is never dropped.
func TestServiceDecaysAndAddsUp(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	a := New(4 * time.Second)
	a.Charge(now, "farm", 1000)
	a.AddDemand(now, "farm", 3000)
	a.SetPeer(now, "r2", map[string]Usage{"farm": {Served: 500, Asked: 700, Waiting: true}})
	g.Expect(a.Served(now, "farm")).To(Equal(1500.0))
	total := a.Totals(now)["farm"]
	g.Expect(total).To(Equal(Usage{Served: 1500, Asked: 3700, Waiting: true}))
	g.Expect(a.Served(now.Add(4*time.Second), "farm")).To(BeNumerically("~", 1500/math.E, 1))
	a.ForgetPeer("r2")
	g.Expect(a.Served(now, "farm")).To(Equal(1000.0))
	a.Charge(now, "farm", -5000)
	g.Expect(a.Served(now, "farm")).To(BeZero())
	g.Expect(a.Own(now.Add(time.Hour))).To(BeEmpty())
}

// Guards against a level that gives out more than the capacity, or leaves capacity unused while a team gets less than
// it requested.
func TestWaterLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amounts := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 30).Draw(t, "amounts")
		capacity := rapid.Float64Range(1, 10_000).Draw(t, "capacity")
		sum := 0.0
		for _, a := range amounts {
			sum += a
		}
		level := waterLevel(append([]float64(nil), amounts...), capacity)
		given := 0.0
		for _, a := range amounts {
			given += min(a, level)
		}
		if math.Abs(given-min(sum, capacity)) > 1e-6*capacity {
			t.Fatalf("level %v gives out %v of capacity %v, requested %v", level, given, capacity, sum)
		}
	})
}
