package retry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against more retries than the configured bounds allow within one window length.
func TestWindowBudget(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	w := NewWindowBudget(10 * time.Second)
	w.SetBounds(0.2, 2)
	for range 10 {
		w.Deposit(now, "app")
	}
	allowed := 0
	for range 10 {
		if w.Allow(now, "app") {
			allowed++
		}
	}
	g.Expect(allowed).To(Equal(4))
	g.Expect(w.Allow(now.Add(5*time.Second), "app")).To(BeFalse())
	g.Expect(w.Allow(now, "other")).To(BeTrue())
	g.Expect(w.Allow(now.Add(11*time.Second), "app")).To(BeTrue())
}
