package runqueue

import (
	"math"
	"runtime"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a quantile that is taken from the wrong bucket, and against mishandled empty histograms and unbounded
// buckets.
func TestUpperBound(t *testing.T) {
	g := NewWithT(t)
	buckets := []float64{0, 0.001, 0.01, 0.1, math.Inf(1)}
	g.Expect(upperBound([]uint64{90, 10, 0, 0}, buckets)).To(Equal(time.Millisecond))
	g.Expect(upperBound([]uint64{80, 10, 10, 0}, buckets)).To(Equal(10 * time.Millisecond))
	g.Expect(upperBound([]uint64{10, 0, 20, 70}, buckets)).To(Equal(100 * time.Millisecond))
	g.Expect(upperBound([]uint64{0, 0, 0, 0}, buckets)).To(BeZero())
}

// Guards against a delay that does not show a full run queue, or that stays high after the queue has emptied.
func TestDelayFollowsTheRunQueue(t *testing.T) {
	g := NewWithT(t)
	d := New()
	d.Sample()
	var spinners sync.WaitGroup
	for range 40 * runtime.GOMAXPROCS(0) {
		spinners.Go(func() {
			for begin := time.Now(); time.Since(begin) < 2*time.Millisecond; {
			}
		})
	}
	spinners.Wait()
	d.Sample()
	full := d.Load()
	g.Expect(full).To(BeNumerically(">", 2*time.Millisecond))
	for range 200 {
		time.Sleep(time.Millisecond / 4)
	}
	d.Sample()
	g.Expect(d.Load()).To(BeNumerically("<", full/2))
}
