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
	idleTime = 2 * time.Second
)

// figures are the results of one variant.
type figures struct {
	Deployment   string  `json:"deployment"`
	FairnessGap  float64 `json:"fairness_gap"`
	GapBound     float64 `json:"fairness_gap_bound"`
	Utilisation  float64 `json:"utilisation"`
	ControlBytes float64 `json:"control_bytes_per_node_s"`
	// ControlBytesMax is the figure of the router with the most.
	ControlBytesMax float64 `json:"control_bytes_max_node_s"`
	// ControlCPU is the share of a core while no requests run.
	ControlCPU float64 `json:"control_cpu_core_share"`
	// TotalCPU is the share of a core under load, streaming of answers included; the mean over routers.
	TotalCPU float64 `json:"total_cpu_core_share"`
	RSS      float64 `json:"rss_mb"`
	TTFT     float64 `json:"ttft_p95_ms"`
	// SmallQuiet and SmallFlood are the small team's p95 wait without and beside the flooding team.
	SmallQuiet float64 `json:"small_wait_p95_ms"`
	SmallFlood float64 `json:"small_wait_beside_flood_p95_ms"`
	Completed  int     `json:"completed"`
	NotRun     int     `json:"not_run"`
	Lost       int     `json:"lost"`
	Duplicated int     `json:"duplicated"`
	Wrong      int     `json:"wrong_answers"`

	// Classes holds the control bytes a second of all routers by message class.
	Classes map[string]float64 `json:"-"`
	reasons map[string]int
}

// usage is what the routers and engines used in a window.
type usage struct {
	seconds     float64
	cpu         []float64
	control     []float64
	classes     map[string]float64
	utilisation float64
	rss         float64
	bound       float64
}

// sampleState is the state of all processes at a time.
type sampleState struct {
	at      time.Time
	cpu     []float64
	control []float64
	classes map[string]float64
	busy    float64
	slots   float64
}

// window measures what is used during a time.
func (r *run) window(ctx context.Context, length time.Duration) (usage, error) {
	before, err := r.state(ctx)
	if err != nil {
		return usage{}, err
	}
	periodic.Sleep(ctx, length)
	after, err := r.state(ctx)
	if err != nil {
		return usage{}, err
	}
	u := usage{seconds: after.at.Sub(before.at).Seconds(), classes: make(map[string]float64)}
	for class := range after.classes {
		u.classes[class] = (after.classes[class] - before.classes[class]) / u.seconds
	}
	for n := range after.cpu {
		u.cpu = append(u.cpu, (after.cpu[n]-before.cpu[n])/u.seconds)
		u.control = append(u.control, (after.control[n]-before.control[n])/u.seconds)
	}
	u.utilisation = (after.busy - before.busy) / (after.slots * u.seconds)
	u.rss, _, err = fleet.LargestMemory(r.fleet)
	if err != nil {
		return usage{}, err
	}
	u.bound, err = r.bound(ctx)
	return u, err
}

func (r *run) state(ctx context.Context) (sampleState, error) {
	s := sampleState{classes: make(map[string]float64)}
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
		s.control = append(s.control, float64(m.ControlBytesIn+m.ControlBytesOut))
		for class, stats := range m.Control {
			s.classes[class] += float64(stats.BytesIn + stats.BytesOut)
		}
	}
	s.at = time.Now()
	for _, e := range r.fleet.Engines {
		var stats engine.Stats
		if err := fleet.Do(ctx, http.MethodGet, "http://"+e.Address+"/admin/stats", nil, &stats); err != nil {
			return s, err
		}
		s.busy += stats.SlotBusySeconds
		s.slots += float64(stats.Slots)
	}
	return s, nil
}

// bound returns the largest bound of the gap that a dispatcher states.
func (r *run) bound(ctx context.Context) (float64, error) {
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

// figures sums up a run.
func (r *run) figures(ctx context.Context, idle, busy usage) (figures, error) {
	duplicated, err := r.duplicated(ctx)
	if err != nil {
		return figures{}, err
	}
	record := r.record
	record.mu.Lock()
	defer record.mu.Unlock()
	return figures{
		Deployment:      r.d.shape.Name,
		FairnessGap:     fleet.Round(r.meter.Gap()),
		GapBound:        fleet.Round(busy.bound),
		Utilisation:     fleet.Round(busy.utilisation),
		ControlBytes:    fleet.Round(fleet.Mean(busy.control)),
		ControlBytesMax: fleet.Round(fleet.Largest(busy.control)),
		ControlCPU:      fleet.Round(fleet.Mean(idle.cpu)),
		TotalCPU:        fleet.Round(fleet.Mean(busy.cpu)),
		RSS:             fleet.Round(busy.rss),
		TTFT:            fleet.Round(milliseconds(record.small)),
		SmallQuiet:      fleet.Round(record.waitP95(phaseQuiet, r.d.small)),
		SmallFlood:      fleet.Round(record.waitP95(phaseFlood, r.d.small)),
		Completed:       record.outcomes["completed"],
		NotRun:          record.outcomes["not-run"],
		Lost:            record.outcomes["cut"] + record.outcomes["unreachable"] + record.outcomes["unknown"] + record.outcomes["failed"],
		Duplicated:      duplicated,
		Wrong:           record.wrong,
		Classes:         busy.classes,
		reasons:         record.reasons,
	}, nil
}

// duplicated counts idempotency keys that ran more than once, and completions that ran from the start more than once.
func (r *run) duplicated(ctx context.Context) (int, error) {
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
