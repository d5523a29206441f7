package main

import (
	"context"
	"math"
	"net/http"
	"strings"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/scheduler"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/test/fleet"
	"gooseberrytide.example/gooseberrytide/test/standin/engine"
	"gooseberrytide.example/gooseberrytide/test/standin/service"
)

const (
	idleDuration = 2 * time.Second
)

// figures holds the results of one variant.
type figures struct {
	Deployment   string  `json:"deployment"`
	FairnessGap  float64 `json:"fairness_gap"`
	GapBound     float64 `json:"fairness_gap_bound"`
	Utilisation  float64 `json:"utilisation"`
	ControlBytes float64 `json:"control_bytes_per_node_s"`
	// ControlBytesMax is the maximum of the control bytes per second over the routers.
	ControlBytesMax float64 `json:"control_bytes_max_node_s"`
	// ControlCPU is the CPU use while no requests run, as a share of a core; the mean over routers.
	ControlCPU float64 `json:"control_cpu_core_share"`
	// TotalCPU is the CPU use under load, including response streaming, as a share of a core; the mean over routers.
	TotalCPU float64 `json:"total_cpu_core_share"`
	RSS      float64 `json:"rss_mb"`
	TTFT     float64 `json:"ttft_p95_ms"`
	// SmallWaitQuiet and SmallWaitFlood are the p95 wait of the small team without and with load from the flooding team.
	SmallWaitQuiet float64 `json:"small_wait_p95_ms"`
	SmallWaitFlood float64 `json:"small_wait_beside_flood_p95_ms"`
	Completed      int     `json:"completed"`
	NotRun         int     `json:"not_run"`
	Lost           int     `json:"lost"`
	Duplicated     int     `json:"duplicated"`
	Wrong          int     `json:"wrong_answers"`

	// Classes holds the control bytes per second of all routers by message class.
	Classes map[string]float64 `json:"-"`
	reasons map[string]int
}

// usage holds the resource use of the routers and engines in a window.
type usage struct {
	seconds      float64
	cpu          []float64
	controlBytes []float64
	bytesByClass map[string]float64
	utilisation  float64
	rss          float64
	gapBound     float64
}

// usageSample holds the counters of all routers and engines at one point in time.
type usageSample struct {
	at              time.Time
	cpu             []float64
	controlBytes    []float64
	bytesByClass    map[string]float64
	busySlotSeconds float64
	slots           float64
}

// measureUsage measures the resource use over a duration.
func (r *run) measureUsage(ctx context.Context, duration time.Duration) (usage, error) {
	before, err := r.takeSample(ctx)
	if err != nil {
		return usage{}, err
	}
	periodic.Sleep(ctx, duration)
	after, err := r.takeSample(ctx)
	if err != nil {
		return usage{}, err
	}
	used := usage{seconds: after.at.Sub(before.at).Seconds(), bytesByClass: make(map[string]float64)}
	for class := range after.bytesByClass {
		used.bytesByClass[class] = (after.bytesByClass[class] - before.bytesByClass[class]) / used.seconds
	}
	for n := range after.cpu {
		used.cpu = append(used.cpu, (after.cpu[n]-before.cpu[n])/used.seconds)
		used.controlBytes = append(used.controlBytes, (after.controlBytes[n]-before.controlBytes[n])/used.seconds)
	}
	used.utilisation = (after.busySlotSeconds - before.busySlotSeconds) / (after.slots * used.seconds)
	used.rss, _, err = fleet.LargestMemory(r.fleet)
	if err != nil {
		return usage{}, err
	}
	used.gapBound, err = r.largestGapBound(ctx)
	return used, err
}

func (r *run) takeSample(ctx context.Context) (usageSample, error) {
	s := usageSample{bytesByClass: make(map[string]float64)}
	for _, router := range r.fleet.Routers {
		m, err := router.Metrics(ctx)
		if err != nil {
			return s, err
		}
		cpu, err := fleet.CPUSeconds(router.PID())
		if err != nil {
			return s, err
		}
		s.cpu = append(s.cpu, cpu)
		s.controlBytes = append(s.controlBytes, float64(m.ControlBytesIn+m.ControlBytesOut))
		for class, stats := range m.Control {
			s.bytesByClass[class] += float64(stats.BytesIn + stats.BytesOut)
		}
	}
	s.at = time.Now()
	for _, e := range r.fleet.Engines {
		var stats engine.Stats
		if err := fleet.Do(ctx, http.MethodGet, "http://"+e.Address+"/admin/stats", nil, &stats); err != nil {
			return s, err
		}
		s.busySlotSeconds += stats.SlotBusySeconds
		s.slots += float64(stats.Slots)
	}
	return s, nil
}

// largestGapBound returns the largest bound of the fairness gap that a dispatcher reports for a shard of a model.
func (r *run) largestGapBound(ctx context.Context) (float64, error) {
	bound := 0.0
	for _, router := range r.fleet.Routers {
		m, err := router.Metrics(ctx)
		if err != nil {
			return 0, err
		}
		for _, shard := range m.Shards {
			if strings.HasPrefix(string(shard.Shard.Pool), "model/") {
				bound = math.Max(bound, shardBound(shard))
			}
		}
	}
	return bound, nil
}

func shardBound(s scheduler.Stats) float64 { return s.Bound }

// summarise returns the figures of a run.
func (r *run) summarise(ctx context.Context, idle, busy usage) (figures, error) {
	duplicated, err := r.countDuplicated(ctx)
	if err != nil {
		return figures{}, err
	}
	record := r.record
	record.mu.Lock()
	defer record.mu.Unlock()
	return figures{
		Deployment:      r.deployment.shape.Name,
		FairnessGap:     fleet.Round(r.meter.Gap()),
		GapBound:        fleet.Round(busy.gapBound),
		Utilisation:     fleet.Round(busy.utilisation),
		ControlBytes:    fleet.Round(fleet.Mean(busy.controlBytes)),
		ControlBytesMax: fleet.Round(fleet.Largest(busy.controlBytes)),
		ControlCPU:      fleet.Round(fleet.Mean(idle.cpu)),
		TotalCPU:        fleet.Round(fleet.Mean(busy.cpu)),
		RSS:             fleet.Round(busy.rss),
		TTFT:            fleet.Round(milliseconds(record.openLoopWaits)),
		SmallWaitQuiet:  fleet.Round(record.waitP95(phaseQuiet, r.deployment.smallTeam)),
		SmallWaitFlood:  fleet.Round(record.waitP95(phaseFlood, r.deployment.smallTeam)),
		Completed:       record.outcomes["completed"],
		NotRun:          record.outcomes["not-run"],
		Lost: record.outcomes["cut"] + record.outcomes["unreachable"] + record.outcomes["unknown"] +
			record.outcomes["failed"],
		Duplicated: duplicated,
		Wrong:      record.wrong,
		Classes:    busy.bytesByClass,
		reasons:    record.reasons,
	}, nil
}

// countDuplicated returns the number of idempotency keys whose call was executed more than once, over all services.
func (r *run) countDuplicated(ctx context.Context) (int, error) {
	byKey := make(map[string]int)
	for _, s := range r.fleet.Services {
		var counts service.Counts
		if err := fleet.Do(ctx, http.MethodGet, "http://"+s.Address+"/admin/counts", nil, &counts); err != nil {
			return 0, err
		}
		for key, n := range counts.ByKey {
			byKey[key] += n
		}
	}
	total := 0
	for _, n := range byKey {
		if n > 1 {
			total++
		}
	}
	return total, nil
}
