package platformengine

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Mode says how requests are answered.
type Mode int

// The modes.
const (
	// Serve answers each request.
	Serve Mode = iota
	// Full answers that the request did not run.
	Full
	// Reset runs the request and closes the connection without an answer.
	Reset
	// Fail runs the request and answers with status 500.
	Fail
	// Busy runs the request and answers with status 503, without saying that it did not run.
	Busy
	// Truncate breaks off in the middle of the second event or of the body.
	Truncate
	// Unsigned answers without the signature.
	Unsigned
	// Foreign answers with the ID of another attempt.
	Foreign
	// Hang runs the request and stays silent.
	Hang
)

// Engine is one server.
type Engine struct {
	ID string
	// Events is the number of events of a stream, Pause the time between them.
	Events int
	Pause  time.Duration

	mu     sync.Mutex
	mode   Mode
	runs   map[string]int
	heads  []http.Header
	bodies map[string][]byte
	// cancelled counts requests whose connection was closed while they ran.
	cancelled int
	// arrived counts requests since the last Mark.
	arrived int
}

// Mark begins a new count of requests that arrive.
func (e *Engine) Mark() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrived = 0
}

// SinceMark returns the number of requests that arrived since the last Mark.
func (e *Engine) SinceMark() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrived
}

// New returns a server.
func New(id string) *Engine {
	return &Engine{ID: id, Events: 5, runs: make(map[string]int), bodies: make(map[string][]byte)}
}

// SetMode changes how requests are answered.
func (e *Engine) SetMode(m Mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode = m
}

// Runs returns how often an attempt ran.
func (e *Engine) Runs(attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[attempt]
}

// Cancelled returns the number of requests that were broken off.
func (e *Engine) Cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}

// Head returns the headers of the last request.
func (e *Engine) Head() http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.heads) == 0 {
		return nil
	}
	return e.heads[len(e.heads)-1]
}

// Body returns the body of an attempt.
func (e *Engine) Body(attempt string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bodies[attempt]
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	mode := e.mode
	e.heads = append(e.heads[max(0, len(e.heads)-1):], r.Header.Clone())
	e.arrived++
	e.mu.Unlock()
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != e.ID {
		w.Header().Set("Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if mode == Full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	e.runs[attempt]++
	e.bodies[attempt] = body
	e.mu.Unlock()
	e.answer(w, r, mode, attempt)
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, mode Mode, attempt string) {
	switch mode {
	case Reset:
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
		e.mu.Lock()
		e.cancelled++
		e.mu.Unlock()
		return
	case Foreign:
		attempt = "another"
	}
	w.Header().Set("Attempt-Id", attempt)
	if mode != Unsigned {
		w.Header().Set("Instance-Signature", "sig-"+e.ID)
	}
	switch {
	case mode == Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case mode == Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Header.Get("Model") != "":
		e.stream(w, r, mode)
	case mode == Truncate:
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, "answer of "+e.ID)
	}
}

// stream sends numbered events after the one that the request names.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, mode Mode) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for id := first; id <= e.Events; id++ {
		if mode == Truncate && id == first+1 {
			fmt.Fprintf(w, "id: %d\nda", id)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", id, id)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(e.Pause):
		case <-r.Context().Done():
			e.mu.Lock()
			e.cancelled++
			e.mu.Unlock()
			return
		}
	}
}
