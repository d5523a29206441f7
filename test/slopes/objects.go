package main

import (
	"context"
	"fmt"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/test/fleet"
)

// Sizes of the target.
const (
	targetTeams   = 11_000
	targetEngines = 4_500
	targetModels  = 23
	// targetRouters is what fits on one machine; each then dispatches for 47 shards instead of one.
	targetRouters = 8
)

// objects measures memory by the number of teams and of engines, with one router that dispatches for all engines.
func (s *suite) objects(ctx context.Context) error {
	var functions []func() error
	for _, n := range []int{100, 1_100, targetTeams} {
		functions = append(functions, func() error { return s.sized(ctx, fmt.Sprintf("teams=%d", n), n, 12) })
	}
	for _, n := range []int{12, 120, 1_200, targetEngines} {
		functions = append(functions, func() error { return s.sized(ctx, fmt.Sprintf("engines=%d", n), 1, n) })
	}
	return concurrently(functions...)
}

// sized measures one idle router with a configuration of a size.
func (s *suite) sized(ctx context.Context, label string, teams, count int) error {
	f, stop, err := s.startSized(ctx, 1, teams, count)
	if err != nil {
		return err
	}
	defer stop()
	periodic.Sleep(ctx, settleTime)
	w, err := observe(ctx, f, idleTime)
	if err != nil {
		return err
	}
	rss, peak, err := fleet.LargestMemory(f)
	if err != nil {
		return err
	}
	s.out.set("object_rss_mb/"+label, rss)
	s.out.set("object_rss_peak_mb/"+label, peak)
	s.out.set("object_cpu_share/"+label, fleet.Mean(w.cpu))
	return nil
}

// startSized starts routers with a number of teams and engines.
func (s *suite) startSized(ctx context.Context, routers, teams, count int) (*fleet.Fleet, func(), error) {
	shape := idleShape(routers)
	shape.Name = fmt.Sprintf("objects-%d-%d", teams, count)
	shape.Models = nil
	shape.Teams = teamShapes(teams)
	f, stop, err := s.start(ctx, shape, fleet.Options{SkipPublish: true})
	if err != nil {
		return nil, nil, err
	}
	list, err := newEngines(count, min(targetModels, max(count/12, 1)))
	if err != nil {
		stop()
		return nil, nil, err
	}
	both := func() {
		stop()
		list.close()
	}
	if err := publishSized(ctx, f, list); err != nil {
		both()
		return nil, nil, err
	}
	return f, both, nil
}

// publishSized publishes the teams first and the engines when all routers know each other. Otherwise the first router
// to be configured would open the event streams of all engines for a moment.
func publishSized(ctx context.Context, f *fleet.Fleet, list *engines) error {
	if err := publishFirst(ctx, f); err != nil {
		return err
	}
	if err := f.AwaitMembers(ctx); err != nil {
		return err
	}
	periodic.Sleep(ctx, changeTime)
	list.addTo(f.Set)
	_, err := f.Apply(ctx, 1)
	return err
}

func teamShapes(n int) []fleet.TeamShape {
	list := []fleet.TeamShape{{Name: "t", Weight: 1}}
	for k := 1; k < n; k++ {
		list = append(list, fleet.TeamShape{Name: fmt.Sprintf("team%d", k), Weight: 1})
	}
	return list
}

// target measures 8 routers with the target's configuration: idle use, a change, and a crash with the processor time
// that the other routers need to rebuild their routes.
func (s *suite) target(ctx context.Context) error {
	f, stop, err := s.startSized(ctx, targetRouters, targetTeams, targetEngines)
	if err != nil {
		return err
	}
	defer stop()
	if err := f.AwaitMembers(ctx); err != nil {
		return err
	}
	periodic.Sleep(ctx, settleTime)
	idle, err := observe(ctx, f, idleTime)
	if err != nil {
		return err
	}
	rss, peak, err := fleet.LargestMemory(f)
	if err != nil {
		return err
	}
	s.out.set("target_rss_mb", rss)
	s.out.set("target_rss_peak_mb", peak)
	s.out.set("target_idle_cpu_share", fleet.Mean(idle.cpu))
	s.out.set("target_idle_control_bytes_s", fleet.Mean(idle.control))
	s.out.set("target_idle_store_reads_s", idle.reads)
	s.out.set("target_idle_free_slots_bytes_s", idle.classMean("free-slots"))
	if err := s.change(ctx, f, 2, "target"); err != nil {
		return err
	}
	extra := s.out.get("change_window_cpu_s_median/target") - median(idle.cpu)*changeTime.Seconds()
	s.out.set("change_extra_cpu_s_median/target", extra)
	_, peak, err = fleet.LargestMemory(f)
	if err != nil {
		return err
	}
	s.out.set("target_rss_peak_after_change_mb", peak)
	return s.rebuild(ctx, f, idle)
}

// rebuild kills a router and measures what its loss costs each other one.
func (s *suite) rebuild(ctx context.Context, f *fleet.Fleet, idle window) error {
	last := len(f.Routers) - 1
	before, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	began := time.Now()
	if err := s.crash(ctx, f, "target"); err != nil {
		return err
	}
	periodic.Sleep(ctx, 2*changeTime-time.Since(began))
	rest := *f
	rest.Routers = f.Routers[:last]
	after, err := takeSample(ctx, &rest)
	if err != nil {
		return err
	}
	before.cpu = before.cpu[:last]
	w := between(before, after)
	s.out.set("target_crash_extra_cpu_s_per_router", (fleet.Mean(w.cpu)-fleet.Mean(idle.cpu[:last]))*w.seconds)
	return nil
}
