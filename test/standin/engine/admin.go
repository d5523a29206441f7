package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
)

// maxExecutions bounds the execution log. Later executions are counted, but not logged.
const maxExecutions = 1 << 18

// The results of an execution.
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

// Faults are injected faults. A count of -1 means all.
type Faults struct {
	// Drop is the number of streams that are dropped after DropAfterTokens tokens of the stream.
	Drop            int `json:"drop"`
	DropAfterTokens int `json:"drop_after_tokens"`
	// Refuse is the number of completions that are refused with Not-Run.
	Refuse int `json:"refuse"`
	// Freeze stops everything but the admin paths.
	Freeze bool `json:"freeze"`
	// Load replaces the load in reports.
	Load *protocol.Load `json:"load,omitempty"`
}

// Stats are counts since the start. Times are in seconds.
type Stats struct {
	Slots       int `json:"slots"`
	Running     int `json:"running"`
	Waiting     int `json:"waiting"`
	PeakRunning int `json:"peak_running"`
	// BusySeconds is the time with at least one running request, SlotBusySeconds the sum over slots.
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

// Stats returns the counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accountLocked()
	s := Stats{
		Slots: e.opts.Slots, Running: e.running, Waiting: len(e.waiters), PeakRunning: e.peak,
		BusySeconds: e.busy.Seconds(), SlotBusySeconds: e.slotBusy.Seconds(),
		Completed: e.totals.completed, Refused: e.totals.refused, Dropped: e.totals.dropped,
		Cancelled: e.totals.cancelled, Disconnected: e.totals.disconnected,
		PrefillTokens: e.totals.prefillTokens, CachedTokens: e.totals.cachedTokens,
		DecodedTokens: e.totals.decodedTokens, StaleOrders: e.totals.staleOrders,
	}
	for _, n := range e.counts {
		s.Executions += n
		if n > 1 {
			s.RepeatedIDs++
		}
	}
	return s
}

// Executions returns the log entries of a request id, or all for an empty id.
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

// begin enters an execution into the log.
func (e *Engine) begin(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[r.id]++
	if e.active[r.id] == nil {
		e.active[r.id] = map[*run]struct{}{}
	}
	e.active[r.id][r] = struct{}{}
	r.log = &Execution{RequestID: r.id, Start: time.Now(), ResumeAt: r.req.ResumeAt, Result: ResultRunning}
	if len(e.executions) < maxExecutions {
		e.executions = append(e.executions, r.log)
	}
}

func (e *Engine) finish(r *run, err error) {
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
	r.log.Result = result
}

// drops says whether the stream is dropped before n more tokens after sent ones.
func (e *Engine) drops(sent, n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Drop == 0 || sent+n <= e.faults.DropAfterTokens {
		return false
	}
	return take(&e.faults.Drop)
}

// take uses one of a fault's count.
func take(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}

func (e *Engine) adminStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) }

func (e *Engine) adminExecutions(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, e.Executions(r.URL.Query().Get("id")))
}

func (e *Engine) adminFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
