// Package runqueue measures how long goroutines that could run wait for the processor. In a process with a small part of
// a processor this is how long a request waits before the first line of its handler: the request's own clock starts
// after it.
package runqueue

import (
	"math"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

// latencies is the runtime's histogram of the times that goroutines waited in the run queue, since the start.
const latencies = "/sched/latencies:seconds"

// quantile is the part of the waits that Delay covers.
const quantile = 0.9

// Delay is the wait of most goroutines between the last two samples. Sample must not be called at the same time by
// several goroutines; Load may.
type Delay struct {
	sample []metrics.Sample
	last   []uint64
	value  atomic.Int64
}

// New returns a delay of 0.
func New() *Delay { return &Delay{sample: []metrics.Sample{{Name: latencies}}} }

// Load returns the delay.
func (d *Delay) Load() time.Duration { return time.Duration(d.value.Load()) }

// Sample measures the delay since the last sample.
func (d *Delay) Sample() {
	metrics.Read(d.sample)
	if d.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return // a runtime without the histogram
	}
	h := d.sample[0].Value.Float64Histogram()
	counts := make([]uint64, len(h.Counts))
	for i, n := range h.Counts {
		counts[i] = n
		if i < len(d.last) {
			counts[i] -= d.last[i]
		}
	}
	d.last = append(d.last[:0], h.Counts...)
	d.value.Store(int64(upperBound(counts, h.Buckets)))
}

// upperBound returns the upper end of the bucket in which the quantile lies. Buckets are in seconds.
func upperBound(counts []uint64, buckets []float64) time.Duration {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	want := uint64(math.Ceil(quantile * float64(total)))
	seen := uint64(0)
	for i, n := range counts {
		seen += n
		if total == 0 || seen < want {
			continue
		}
		end := buckets[i+1]
		if math.IsInf(end, 1) {
			end = buckets[i]
		}
		return time.Duration(end * float64(time.Second))
	}
	return 0
}
