package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
)

// maxExecutions limits the execution log. Later executions are counted, but not logged.
const maxExecutions = 1 << 18

// Values of Execution.Result.
const (
	ResultRunning      = "running"
	ResultCompleted    = "completed"
	ResultCancelled    = "cancelled"
	ResultDropped      = "dropped"
	ResultDisconnected = "disconnected"
)

// Execution is an entry of the execution log.
type Execution struct {
	RequestID string    `json:"request_id"`
	Start     time.Time `json:"start"`
	ResumeAt  int       `json:"resume_at"`
	// Tokens is the number of tokens that were sent.
	Tokens int    `json:"tokens"`
	Result string `json:"result"`
}

// Faults configures the injected faults. A count of -1 means no limit.
type Faults struct {
	// Drop is the number of streams whose connection is closed after DropAfterTokens tokens of the stream.
	Drop            int `json:"drop"`
	DropAfterTokens int `json:"drop_after_tokens"`
	// Refuse is the number of completions that are refused with the Not-Run header.
	Refuse int `json:"refuse"`
	// Freeze blocks everything but the admin paths.
	Freeze bool `json:"freeze"`
	// Load replaces the actual load in reports.
	Load *protocol.Load `json:"load,omitempty"`
}

// Stats holds counts since the start.
type Stats struct {
	Slots       int `json:"slots"`
	Running     int `json:"running"`
	Waiting     int `json:"waiting"`
	PeakRunning int `json:"peak_running"`
	// BusySeconds is the time with at least one running request; SlotBusySeconds is the busy time summed over slots.
	BusySeconds     float64 `json:"busy_seconds"`
	SlotBusySeconds float64 `json:"slot_busy_seconds"`
	Executions      int     `json:"executions"`
	Completed       int     `json:"completed"`
	Refused         int     `json:"refused"`
	Dropped         int     `json:"dropped"`
	Cancelled       int     `json:"cancelled"`
	Disconnected    int     `json:"disconnected"`
	PrefillTokens   int64   `json:"prefill_tokens"`
	CachedTokens    int64   `json:"cached_tokens"`
	DecodedTokens   int64   `json:"decoded_tokens"`
	// StaleOrders is the number of orders refused for an old fencing number.
	StaleOrders int64 `json:"stale_orders"`
	// RepeatedIDs is the number of request ids that ran more than once.
	RepeatedIDs int `json:"repeated_ids"`
}

// Stats returns the current counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accrueBusyTimeLocked()
	s := Stats{
		Slots: e.opts.Slots, Running: e.running, Waiting: len(e.waiters), PeakRunning: e.peakRunning,
		BusySeconds: e.busyTime.Seconds(), SlotBusySeconds: e.slotBusyTime.Seconds(),
		Completed: e.totals.completed, Refused: e.totals.refused, Dropped: e.totals.dropped,
		Cancelled: e.totals.cancelled, Disconnected: e.totals.disconnected,
		PrefillTokens: e.totals.prefillTokens, CachedTokens: e.totals.cachedTokens,
		DecodedTokens: e.totals.decodedTokens, StaleOrders: e.totals.staleOrders,
	}
	for _, n := range e.executionsByID {
		s.Executions += n
		if n > 1 {
			s.RepeatedIDs++
		}
	}
	return s
}

// Executions returns the log entries of a request ID, or all entries if the ID is empty.
func (e *Engine) Executions(id string) []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []Execution
	for _, x := range e.executions {
		if id == "" || x.RequestID == id {
			out = append(out, *x)
		}
	}
	return out
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Freeze && e.thaw == nil {
		e.thaw = make(chan struct{})
	}
	if !f.Freeze && e.thaw != nil {
		close(e.thaw)
		e.thaw = nil
	}
}

// startExecution registers an execution as active and adds it to the log.
func (e *Engine) startExecution(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executionsByID[r.id]++
	if e.active[r.id] == nil {
		e.active[r.id] = map[*run]struct{}{}
	}
	e.active[r.id][r] = struct{}{}
	r.entry = &Execution{RequestID: r.id, Start: time.Now(), ResumeAt: r.req.ResumeAt, Result: ResultRunning}
	if len(e.executions) < maxExecutions {
		e.executions = append(e.executions, r.entry)
	}
}

// finishExecution ends an execution and records its result, which err determines.
func (e *Engine) finishExecution(r *run, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active[r.id], r)
	if len(e.active[r.id]) == 0 {
		delete(e.active, r.id)
	}
	result := ResultDisconnected
	switch {
	case err == nil:
		e.totals.completed++
		result = ResultCompleted
	case errors.Is(err, errCancelled):
		e.totals.cancelled++
		result = ResultCancelled
	case errors.Is(err, errDropped):
		e.totals.dropped++
		result = ResultDropped
	default:
		e.totals.disconnected++
	}
	r.entry.Result = result
}

// shouldDrop reports whether to drop a stream that has sent a number of tokens instead of sending n more.
func (e *Engine) shouldDrop(sent, n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Drop == 0 || sent+n <= e.faults.DropAfterTokens {
		return false
	}
	return consumeFault(&e.faults.Drop)
}

// consumeFault reports whether a fault applies, and decrements its count unless that is negative (no limit).
func consumeFault(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) }

func (e *Engine) serveExecutions(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, e.Executions(r.URL.Query().Get("id")))
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
