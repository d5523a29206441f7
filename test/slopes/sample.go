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

// sample holds the counters of a fleet at one point in time. The slices are indexed by router.
type sample struct {
	at           time.Time
	cpu          []float64
	bytesByClass []map[string]float64
	// messagesByClass holds the messages sent by class.
	messagesByClass []map[string]float64
	controlBytes    []float64
	storeCalls      kvstore.Counters
}

// window holds the resource use of a fleet per second between two samples. The slices are indexed by router.
type window struct {
	seconds      float64
	cpu          []float64
	controlBytes []float64
	bytesByClass []map[string]float64
	// messagesByClass holds the messages sent per second and class by all routers.
	messagesByClass map[string]float64
	// storeReads and storeWrites are calls to the store per second.
	storeReads, storeWrites float64
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
		s.bytesByClass = append(s.bytesByClass, classes)
		s.messagesByClass = append(s.messagesByClass, sent)
		s.controlBytes = append(s.controlBytes, float64(m.ControlBytesIn+m.ControlBytesOut))
	}
	err := fleet.Do(ctx, http.MethodGet, f.StoreURL+"/admin/counters", nil, &s.storeCalls)
	return s, err
}

// measureWindow measures the resource use of a fleet over a duration.
func measureWindow(ctx context.Context, f *fleet.Fleet, duration time.Duration) (window, error) {
	before, err := takeSample(ctx, f)
	if err != nil {
		return window{}, err
	}
	periodic.Sleep(ctx, duration)
	after, err := takeSample(ctx, f)
	if err != nil {
		return window{}, err
	}
	return windowBetween(before, after), nil
}

func windowBetween(before, after sample) window {
	w := window{seconds: after.at.Sub(before.at).Seconds(), messagesByClass: make(map[string]float64)}
	for n := range after.cpu {
		w.cpu = append(w.cpu, (after.cpu[n]-before.cpu[n])/w.seconds)
		w.controlBytes = append(w.controlBytes, (after.controlBytes[n]-before.controlBytes[n])/w.seconds)
		classes := make(map[string]float64)
		for class, bytes := range after.bytesByClass[n] {
			classes[class] = (bytes - before.bytesByClass[n][class]) / w.seconds
			w.messagesByClass[class] += (after.messagesByClass[n][class] - before.messagesByClass[n][class]) / w.seconds
		}
		w.bytesByClass = append(w.bytesByClass, classes)
	}
	w.storeReads = float64(after.storeCalls.Range-before.storeCalls.Range+
		after.storeCalls.Watch-before.storeCalls.Watch) / w.seconds
	w.storeWrites = float64(after.storeCalls.Txn-before.storeCalls.Txn+
		after.storeCalls.Lease-before.storeCalls.Lease) / w.seconds
	return w
}

// classBytes returns the bytes of a message class in a window, summed over all routers.
func (w window) classBytes(class string) float64 {
	sum := 0.0
	for _, classes := range w.bytesByClass {
		sum += classes[class] * w.seconds
	}
	return sum
}

// classBytesPerSecond returns the bytes per second of a message class, averaged over the routers.
func (w window) classBytesPerSecond(class string) float64 {
	return w.classBytes(class) / w.seconds / float64(len(w.bytesByClass))
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
