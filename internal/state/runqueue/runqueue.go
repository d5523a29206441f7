// Package runqueue measures how long runnable goroutines wait for a processor. In a process that may use only a
// fraction of a processor, a request waits this long before its handler starts. The handler's own timing starts after
// the wait and does not include it.
package runqueue

import (
	"math"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

// latencyMetric is the runtime's histogram of the time that goroutines spent in the run queue since the process start.
const latencyMetric = "/sched/latencies:seconds"

// delayQuantile is the quantile of the waits that Delay reports.
const delayQuantile = 0.9

// Delay is a quantile of the goroutines' waits between the last two samples. Load is safe for concurrent use; Sample
// must not be called concurrently.
type Delay struct {
	samples    []metrics.Sample
	lastCounts []uint64
	value      atomic.Int64
}

// New returns a Delay that is 0 until the first sample.
func New() *Delay { return &Delay{samples: []metrics.Sample{{Name: latencyMetric}}} }

// Load returns the delay that the last sample measured.
func (d *Delay) Load() time.Duration { return time.Duration(d.value.Load()) }

// Sample measures the delay since the previous sample.
func (d *Delay) Sample() {
	metrics.Read(d.samples)
	if d.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return // the runtime does not provide the histogram
	}
	h := d.samples[0].Value.Float64Histogram()
	counts := make([]uint64, len(h.Counts))
	for i, n := range h.Counts {
		counts[i] = n
		if i < len(d.lastCounts) {
			counts[i] -= d.lastCounts[i]
		}
	}
	d.lastCounts = append(d.lastCounts[:0], h.Counts...)
	d.value.Store(int64(upperBound(counts, h.Buckets)))
}

// upperBound returns the upper bound of the bucket that contains the quantile, or the lower bound if the upper one is
// infinite. Bucket bounds are in seconds.
func upperBound(counts []uint64, buckets []float64) time.Duration {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	targetCount := uint64(math.Ceil(delayQuantile * float64(total)))
	cumulative := uint64(0)
	for i, n := range counts {
		cumulative += n
		if total == 0 || cumulative < targetCount {
			continue
		}
		bound := buckets[i+1]
		if math.IsInf(bound, 1) {
			bound = buckets[i]
		}
		return time.Duration(bound * float64(time.Second))
	}
	return 0
}
