package main

import (
	"context"
	"net/http"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/test/fleet"
	"gooseberrytide.example/gooseberrytide/test/standin/kvstore"
)

// sample is the state of a fleet at a time.
type sample struct {
	at      time.Time
	cpu     []float64
	classes []map[string]float64
	// sent holds the messages sent by class.
	sent  []map[string]float64
	total []float64
	store kvstore.Counters
}

// window is the use of a fleet per second between two samples, by router.
type window struct {
	seconds float64
	cpu     []float64
	control []float64
	classes []map[string]float64
	// sent holds the messages sent per second and class by all routers.
	sent map[string]float64
	// reads and writes are calls at the store per second.
	reads, writes float64
}

func takeSample(ctx context.Context, f *fleet.Fleet) (sample, error) {
	s := sample{at: time.Now()}
	for _, r := range f.Routers {
		m, err := r.Metrics(ctx)
		if err != nil {
			return s, err
		}
		cpu, err := fleet.CPUSeconds(r.PID())
		if err != nil {
			return s, err
		}
		classes, sent := make(map[string]float64), make(map[string]float64)
		for class, stats := range m.Control {
			classes[class] = float64(stats.BytesIn + stats.BytesOut)
			sent[class] = float64(stats.MessagesOut)
		}
		s.cpu = append(s.cpu, cpu)
		s.classes = append(s.classes, classes)
		s.sent = append(s.sent, sent)
		s.total = append(s.total, float64(m.ControlBytesIn+m.ControlBytesOut))
	}
	err := fleet.Do(ctx, http.MethodGet, f.StoreURL+"/admin/counters", nil, &s.store)
	return s, err
}

// observe measures a fleet for a time.
func observe(ctx context.Context, f *fleet.Fleet, length time.Duration) (window, error) {
	before, err := takeSample(ctx, f)
	if err != nil {
		return window{}, err
	}
	periodic.Sleep(ctx, length)
	after, err := takeSample(ctx, f)
	if err != nil {
		return window{}, err
	}
	return between(before, after), nil
}

func between(before, after sample) window {
	w := window{seconds: after.at.Sub(before.at).Seconds(), sent: make(map[string]float64)}
	for n := range after.cpu {
		w.cpu = append(w.cpu, (after.cpu[n]-before.cpu[n])/w.seconds)
		w.control = append(w.control, (after.total[n]-before.total[n])/w.seconds)
		classes := make(map[string]float64)
		for class, bytes := range after.classes[n] {
			classes[class] = (bytes - before.classes[n][class]) / w.seconds
			w.sent[class] += (after.sent[n][class] - before.sent[n][class]) / w.seconds
		}
		w.classes = append(w.classes, classes)
	}
	w.reads = float64(after.store.Range-before.store.Range+after.store.Watch-before.store.Watch) / w.seconds
	w.writes = float64(after.store.Txn-before.store.Txn+after.store.Lease-before.store.Lease) / w.seconds
	return w
}

// classTotal returns the bytes of a class in a window over all routers.
func (w window) classTotal(class string) float64 {
	sum := 0.0
	for _, classes := range w.classes {
		sum += classes[class] * w.seconds
	}
	return sum
}

// classMean returns the bytes per second and router of a class.
func (w window) classMean(class string) float64 {
	return w.classTotal(class) / w.seconds / float64(len(w.classes))
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
