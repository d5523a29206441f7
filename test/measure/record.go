package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gooseberrytide.example/gooseberrytide/test/load"
)

// phase is a phase of a run.
type phase int

const (
	phaseNone phase = iota
	phaseQuiet
	phaseFlood
)

// Range of the histograms in microseconds.
const (
	histogramMin = 1
	histogramMax = int64(10 * time.Minute / time.Microsecond)
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(histogramMin, histogramMax, 3) }

// recorder keeps the outcomes and waiting times of a run.
type recorder struct {
	mu       sync.Mutex
	phase    phase
	outcomes map[string]int
	// wrong counts completed requests whose text differs from the expected completion.
	wrong int
	// reasons counts requests that did not complete, by outcome and reason.
	reasons map[string]int
	// waits holds the times to the first token by phase and team.
	waits map[phase]map[string]*hdrhistogram.Histogram
	// openLoopWaits holds the times to the first token of all teams with an open loop: all but the large and the
	// flooding teams.
	openLoopWaits *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		outcomes:      make(map[string]int),
		reasons:       make(map[string]int),
		waits:         make(map[phase]map[string]*hdrhistogram.Histogram),
		openLoopWaits: newHistogram(),
	}
}

func (r *recorder) setPhase(p phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = p
}

func (r *recorder) recordCompletion(t teamLoad, a load.Answer, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countLocked(a)
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
	// RecordValue fails only for waits beyond the histogram's range, which is longer than a run.
	_ = byTeam[t.name].RecordValue(a.Wait.Microseconds())
	if t.outstanding == 0 {
		_ = r.openLoopWaits.RecordValue(a.Wait.Microseconds())
	}
}

func (r *recorder) recordCall(a load.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countLocked(a)
}

// countLocked counts an outcome and, unless it is "completed", its reason. The caller holds r.mu.
func (r *recorder) countLocked(a load.Answer) {
	r.outcomes[a.Outcome]++
	if a.Outcome != "completed" {
		reason := a.Reason
		if a.Err != nil {
			reason = a.Err.Error()
		}
		r.reasons[a.Outcome+": "+reason]++
	}
}

// waitP95 returns a team's 95th percentile of the time to the first token in a phase, in milliseconds. The caller holds
// r.mu.
func (r *recorder) waitP95(p phase, team string) float64 {
	h := r.waits[p][team]
	if h == nil {
		return 0
	}
	return milliseconds(h)
}

// milliseconds returns the 95th percentile of a histogram in milliseconds.
func milliseconds(h *hdrhistogram.Histogram) float64 {
	return float64(h.ValueAtQuantile(95)) / 1000
}
