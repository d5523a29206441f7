package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gooseberrytide.example/gooseberrytide/test/load"
)

// phase is a part of a run.
type phase int

const (
	phaseNone phase = iota
	phaseQuiet
	phaseFlood
)

// Range of the histograms in microseconds.
const (
	histogramLow  = 1
	histogramHigh = int64(10 * time.Minute / time.Microsecond)
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(histogramLow, histogramHigh, 3) }

// recorder keeps the outcomes and waiting times of a run.
type recorder struct {
	mu       sync.Mutex
	phase    phase
	outcomes map[string]int
	// wrong counts completed answers whose text was not the whole own answer.
	wrong   int
	reasons map[string]int
	// waits holds the times to the first token by phase and team.
	waits map[phase]map[string]*hdrhistogram.Histogram
	// small holds those of all teams that are not large.
	small *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		outcomes: make(map[string]int),
		reasons:  make(map[string]int),
		waits:    make(map[phase]map[string]*hdrhistogram.Histogram),
		small:    newHistogram(),
	}
}

func (r *recorder) setPhase(p phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = p
}

func (r *recorder) completion(t teamLoad, a load.Answer, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(a)
	if a.Outcome != "completed" {
		return
	}
	if !whole {
		r.wrong++
	}
	if r.phase == phaseNone {
		return
	}
	byTeam := r.waits[r.phase]
	if byTeam == nil {
		byTeam = make(map[string]*hdrhistogram.Histogram)
		r.waits[r.phase] = byTeam
	}
	if byTeam[t.name] == nil {
		byTeam[t.name] = newHistogram()
	}
	// A wait beyond the range is impossible within a run.
	_ = byTeam[t.name].RecordValue(a.Wait.Microseconds())
	if t.outstanding == 0 {
		_ = r.small.RecordValue(a.Wait.Microseconds())
	}
}

func (r *recorder) call(a load.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(a)
}

// count counts an outcome. The lock is held.
func (r *recorder) count(a load.Answer) {
	r.outcomes[a.Outcome]++
	if a.Outcome != "completed" {
		reason := a.Reason
		if a.Err != nil {
			reason = a.Err.Error()
		}
		r.reasons[a.Outcome+": "+reason]++
	}
}

// waitP95 returns a team's 95th percentile of the time to the first token in a phase, in milliseconds.
func (r *recorder) waitP95(p phase, team string) float64 {
	h := r.waits[p][team]
	if h == nil {
		return 0
	}
	return milliseconds(h)
}

func milliseconds(h *hdrhistogram.Histogram) float64 {
	return float64(h.ValueAtQuantile(95)) / 1000
}
