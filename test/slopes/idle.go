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

// Times of the measurement of an idle fleet.
const (
	settleTime = 8 * time.Second
	idleTime   = 8 * time.Second
	// changeTime is the window around a change of the configuration, and around a crash.
	changeTime = 4 * time.Second
)

// start starts a fleet in a directory of its own. The function returned stops it.
func (s *suite) start(ctx context.Context, shape fleet.Shape, opts fleet.Options) (*fleet.Fleet, func(), error) {
	dir, err := os.MkdirTemp("", "slopes-"+shape.Name+"-")
	if err != nil {
		return nil, nil, err
	}
	opts.BinDir, opts.Dir = s.bin, dir
	f, err := fleet.Start(ctx, shape, opts)
	if err != nil {
		return nil, nil, err
	}
	stop := func() {
		f.Stop()
		_ = os.RemoveAll(dir) // Logs only.
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

// fleets measures idle fleets of several sizes at the same time.
func (s *suite) fleets(ctx context.Context, sizes ...int) error {
	var functions []func() error
	for _, n := range sizes {
		functions = append(functions, func() error { return s.idleFleet(ctx, n) })
	}
	return concurrently(functions...)
}

func (s *suite) idleFleet(ctx context.Context, routers int) error {
	f, stop, err := s.start(ctx, idleShape(routers), fleet.Options{})
	if err != nil {
		return err
	}
	defer stop()
	if err := f.AwaitMembers(ctx); err != nil {
		return err
	}
	periodic.Sleep(ctx, settleTime)
	w, err := observe(ctx, f, idleTime)
	if err != nil {
		return err
	}
	if err := s.recordIdle(f, w, routers); err != nil {
		return err
	}
	if err := s.change(ctx, f, 1, fmt.Sprintf("routers=%d", routers)); err != nil {
		return err
	}
	return s.crash(ctx, f, fmt.Sprintf("routers=%d", routers))
}

func (s *suite) recordIdle(f *fleet.Fleet, w window, routers int) error {
	name := func(figure string) string { return fmt.Sprintf("idle_%s/routers=%d", figure, routers) }
	s.out.set(name("control_bytes_s"), fleet.Mean(w.control))
	s.out.set(name("control_bytes_s_max"), fleet.Largest(w.control))
	s.out.set(name("membership_bytes_s"), w.classMean("membership"))
	s.out.set(name("link_bytes_s"), w.classMean("link"))
	s.out.set(name("cpu_share"), fleet.Mean(w.cpu))
	s.out.set(name("store_reads_s"), w.reads)
	s.out.set(name("store_writes_s"), w.writes)
	rss, _, err := fleet.LargestMemory(f)
	s.out.set(name("rss_mb"), rss)
	return err
}

// change publishes a change of one team and measures the bytes, the processor time and the time until it is in force
// everywhere.
func (s *suite) change(ctx context.Context, f *fleet.Fleet, base ident.Generation, label string) error {
	before, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	for _, team := range f.Set.Teams {
		team.Weight++
		break
	}
	began := time.Now()
	gen, err := f.Apply(ctx, base)
	if err != nil {
		return err
	}
	periodic.Sleep(ctx, changeTime-time.Since(began))
	after, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	took, err := inForce(ctx, f, began, gen)
	if err != nil {
		return err
	}
	w := between(before, after)
	n := float64(len(f.Routers))
	s.out.set("change_in_force_s/"+label, took.Seconds())
	s.out.set("change_rpc_bytes_per_router/"+label, w.classTotal("rpc")/n)
	s.out.set("change_store_reads/"+label, float64(after.store.Range-before.store.Range))
	s.out.set("change_store_writes/"+label, float64(after.store.Txn-before.store.Txn))
	// The median leaves out the router that publishes.
	s.out.set("change_window_cpu_s_median/"+label, median(w.cpu)*w.seconds)
	s.out.set("change_window_cpu_s_max/"+label, fleet.Largest(w.cpu)*w.seconds)
	return nil
}

// crash kills the last router and measures the time until all others know it.
func (s *suite) crash(ctx context.Context, f *fleet.Fleet, label string) error {
	last := len(f.Routers) - 1
	gone, rest := f.Routers[last], f.Routers[:last]
	began := time.Now()
	gone.Signal(syscall.SIGKILL)
	took, err := detected(ctx, rest, began, gone.ID)
	if err != nil {
		return err
	}
	s.out.set("detection_s/"+label, took.Seconds())
	return nil
}
