package main

import (
	"context"
	"fmt"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/test/fleet"
)

// Size of the target configuration.
const (
	targetTeams   = 11_000
	targetEngines = 4_500
	targetModels  = 23
	// targetRouters is the number of routers that fit on one machine. Each then dispatches for 47 shards instead of one.
	targetRouters = 8
)

// measureObjects measures memory by the number of teams and by the number of engines, with one router that dispatches
// for all engines.
func (s *suite) measureObjects(ctx context.Context) error {
	var measurements []func() error
	for _, n := range []int{100, 1_100, targetTeams} {
		measurements = append(measurements, func() error {
			return s.measureObjectCount(ctx, fmt.Sprintf("teams=%d", n), n, 12)
		})
	}
	for _, n := range []int{12, 120, 1_200, targetEngines} {
		measurements = append(measurements, func() error {
			return s.measureObjectCount(ctx, fmt.Sprintf("engines=%d", n), 1, n)
		})
	}
	return concurrently(measurements...)
}

// measureObjectCount measures one idle router with the given numbers of teams and engines.
func (s *suite) measureObjectCount(ctx context.Context, label string, teams, engineCount int) error {
	f, stop, err := s.startWithObjects(ctx, 1, teams, engineCount)
	if err != nil {
		return err
	}
	defer stop()
	periodic.Sleep(ctx, settleTime)
	w, err := measureWindow(ctx, f, idleDuration)
	if err != nil {
		return err
	}
	rss, peak, err := fleet.LargestMemory(f)
	if err != nil {
		return err
	}
	s.results.set("object_rss_mb/"+label, rss)
	s.results.set("object_rss_peak_mb/"+label, peak)
	s.results.set("object_cpu_share/"+label, fleet.Mean(w.cpu))
	return nil
}

// startWithObjects starts routers with the given numbers of teams and engines. The function returned stops them.
func (s *suite) startWithObjects(ctx context.Context, routers, teams, engineCount int) (*fleet.Fleet, func(), error) {
	shape := idleShape(routers)
	shape.Name = fmt.Sprintf("objects-%d-%d", teams, engineCount)
	shape.Models = nil
	shape.Teams = teamShapes(teams)
	f, stop, err := s.startFleet(ctx, shape, fleet.Options{SkipPublish: true})
	if err != nil {
		return nil, nil, err
	}
	backends, err := startEngines(engineCount, min(targetModels, max(engineCount/12, 1)))
	if err != nil {
		stop()
		return nil, nil, err
	}
	cleanup := func() {
		stop()
		backends.close()
	}
	if err := publishTeamsThenEngines(ctx, f, backends); err != nil {
		cleanup()
		return nil, nil, err
	}
	return f, cleanup, nil
}

// publishTeamsThenEngines publishes the teams first, and the engines when all routers have discovered each other.
// Otherwise the first router to be configured would briefly open the event streams of all engines.
func publishTeamsThenEngines(ctx context.Context, f *fleet.Fleet, backends *engineSet) error {
	if err := publishFirst(ctx, f); err != nil {
		return err
	}
	if err := f.AwaitMembers(ctx); err != nil {
		return err
	}
	periodic.Sleep(ctx, changeDuration)
	backends.addTo(f.Set)
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

// measureTarget measures 8 routers with the target configuration: idle use, a configuration change, and a crash with
// the CPU time that the other routers need to rebuild their routes.
func (s *suite) measureTarget(ctx context.Context) error {
	f, stop, err := s.startWithObjects(ctx, targetRouters, targetTeams, targetEngines)
	if err != nil {
		return err
	}
	defer stop()
	if err := f.AwaitMembers(ctx); err != nil {
		return err
	}
	periodic.Sleep(ctx, settleTime)
	idle, err := measureWindow(ctx, f, idleDuration)
	if err != nil {
		return err
	}
	rss, peak, err := fleet.LargestMemory(f)
	if err != nil {
		return err
	}
	s.results.set("target_rss_mb", rss)
	s.results.set("target_rss_peak_mb", peak)
	s.results.set("target_idle_cpu_share", fleet.Mean(idle.cpu))
	s.results.set("target_idle_control_bytes_s", fleet.Mean(idle.controlBytes))
	s.results.set("target_idle_store_reads_s", idle.storeReads)
	s.results.set("target_idle_free_slots_bytes_s", idle.classBytesPerSecond("free-slots"))
	if err := s.measureChange(ctx, f, 2, "target"); err != nil {
		return err
	}
	extra := s.results.get("change_window_cpu_s_median/target") - median(idle.cpu)*changeDuration.Seconds()
	s.results.set("change_extra_cpu_s_median/target", extra)
	_, peak, err = fleet.LargestMemory(f)
	if err != nil {
		return err
	}
	s.results.set("target_rss_peak_after_change_mb", peak)
	return s.measureRouteRebuild(ctx, f, idle)
}

// measureRouteRebuild kills a router and measures the CPU time that each of the others needs above the idle use.
func (s *suite) measureRouteRebuild(ctx context.Context, f *fleet.Fleet, idle window) error {
	last := len(f.Routers) - 1
	before, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	start := time.Now()
	if err := s.measureCrash(ctx, f, "target"); err != nil {
		return err
	}
	periodic.Sleep(ctx, 2*changeDuration-time.Since(start))
	survivors := *f
	survivors.Routers = f.Routers[:last]
	after, err := takeSample(ctx, &survivors)
	if err != nil {
		return err
	}
	before.cpu = before.cpu[:last]
	w := windowBetween(before, after)
	s.results.set("target_crash_extra_cpu_s_per_router", (fleet.Mean(w.cpu)-fleet.Mean(idle.cpu[:last]))*w.seconds)
	return nil
}
