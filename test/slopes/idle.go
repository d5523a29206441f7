package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/test/fleet"
)

// Durations of the measurement of an idle fleet.
const (
	settleTime   = 8 * time.Second
	idleDuration = 8 * time.Second
	// changeDuration is the length of the window around a configuration change. The window around a crash at the
	// target size is twice as long.
	changeDuration = 4 * time.Second
)

// startFleet starts a fleet in a temporary directory. The function returned stops it and removes the directory.
func (s *suite) startFleet(ctx context.Context, shape fleet.Shape, opts fleet.Options) (*fleet.Fleet, func(), error) {
	dir, err := os.MkdirTemp("", "slopes-"+shape.Name+"-")
	if err != nil {
		return nil, nil, err
	}
	opts.BinDir, opts.Dir = s.binDir, dir
	f, err := fleet.Start(ctx, shape, opts)
	if err != nil {
		return nil, nil, err
	}
	stop := func() {
		f.Stop()
		_ = os.RemoveAll(dir) // The directory holds only logs.
	}
	return f, stop, nil
}

func idleShape(routers int) fleet.Shape {
	return fleet.Shape{
		Name:    fmt.Sprintf("idle%d", routers),
		Routers: routers,
		Domains: []string{"a", "b", "c"},
		Models:  []fleet.ModelShape{{Name: "m", Engines: 1, Slots: 8}},
		Teams:   []fleet.TeamShape{{Name: "t", Weight: 1}},
	}
}

// measureIdleFleets measures idle fleets of several sizes concurrently.
func (s *suite) measureIdleFleets(ctx context.Context, sizes ...int) error {
	var measurements []func() error
	for _, n := range sizes {
		measurements = append(measurements, func() error { return s.measureIdleFleet(ctx, n) })
	}
	return concurrently(measurements...)
}

func (s *suite) measureIdleFleet(ctx context.Context, routers int) error {
	f, stop, err := s.startFleet(ctx, idleShape(routers), fleet.Options{})
	if err != nil {
		return err
	}
	defer stop()
	if err := f.AwaitMembers(ctx); err != nil {
		return err
	}
	periodic.Sleep(ctx, settleTime)
	w, err := measureWindow(ctx, f, idleDuration)
	if err != nil {
		return err
	}
	if err := s.recordIdle(f, w, routers); err != nil {
		return err
	}
	if err := s.measureChange(ctx, f, 1, fmt.Sprintf("routers=%d", routers)); err != nil {
		return err
	}
	return s.measureCrash(ctx, f, fmt.Sprintf("routers=%d", routers))
}

func (s *suite) recordIdle(f *fleet.Fleet, w window, routers int) error {
	name := func(figure string) string { return fmt.Sprintf("idle_%s/routers=%d", figure, routers) }
	s.results.set(name("control_bytes_s"), fleet.Mean(w.controlBytes))
	s.results.set(name("control_bytes_s_max"), fleet.Largest(w.controlBytes))
	s.results.set(name("membership_bytes_s"), w.classBytesPerSecond("membership"))
	s.results.set(name("link_bytes_s"), w.classBytesPerSecond("link"))
	s.results.set(name("cpu_share"), fleet.Mean(w.cpu))
	s.results.set(name("store_reads_s"), w.storeReads)
	s.results.set(name("store_writes_s"), w.storeWrites)
	rss, _, err := fleet.LargestMemory(f)
	s.results.set(name("rss_mb"), rss)
	return err
}

// measureChange publishes a change of one team and measures the bytes, the CPU time and the time until all routers have
// applied it.
func (s *suite) measureChange(ctx context.Context, f *fleet.Fleet, base ident.Generation, label string) error {
	before, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	for _, team := range f.Set.Teams {
		team.Weight++
		break
	}
	start := time.Now()
	gen, err := f.Apply(ctx, base)
	if err != nil {
		return err
	}
	periodic.Sleep(ctx, changeDuration-time.Since(start))
	after, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	propagation, err := propagationTime(ctx, f, start, gen)
	if err != nil {
		return err
	}
	w := windowBetween(before, after)
	n := float64(len(f.Routers))
	s.results.set("change_in_force_s/"+label, propagation.Seconds())
	s.results.set("change_rpc_bytes_per_router/"+label, w.classBytes("rpc")/n)
	s.results.set("change_store_reads/"+label, float64(after.storeCalls.Range-before.storeCalls.Range))
	s.results.set("change_store_writes/"+label, float64(after.storeCalls.Txn-before.storeCalls.Txn))
	// The median leaves out the router that publishes.
	s.results.set("change_window_cpu_s_median/"+label, median(w.cpu)*w.seconds)
	s.results.set("change_window_cpu_s_max/"+label, fleet.Largest(w.cpu)*w.seconds)
	return nil
}

// measureCrash kills the last router and measures the time until all others have detected the crash.
func (s *suite) measureCrash(ctx context.Context, f *fleet.Fleet, label string) error {
	last := len(f.Routers) - 1
	crashed, survivors := f.Routers[last], f.Routers[:last]
	start := time.Now()
	crashed.Signal(syscall.SIGKILL)
	detection, err := crashDetectionTime(ctx, survivors, start, crashed.ID)
	if err != nil {
		return err
	}
	s.results.set("detection_s/"+label, detection.Seconds())
	return nil
}
