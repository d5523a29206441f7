package service

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
)

const maxBodyBytes = 8 << 20

// Service is a stand-in service. It is safe for concurrent use.
type Service struct {
	opts   Options
	mux    *http.ServeMux
	server *http.Server
	slots  chan struct{}

	mu           sync.Mutex
	counts       Counts
	faults       Faults
	highestFence map[string]int64
	callsByKey   map[string]*keyedCall
}

// keyedCall is a running or finished call with an idempotency key. answer is valid when done is closed.
type keyedCall struct {
	done   chan struct{}
	answer Answer
}

// New returns a service. Handler or Serve make it available over HTTP.
func New(opts Options) *Service {
	if opts.Concurrency == 0 {
		opts.Concurrency = defaultConcurrency
	}
	s := &Service{
		opts:         opts,
		mux:          http.NewServeMux(),
		slots:        make(chan struct{}, opts.Concurrency),
		counts:       Counts{ByKey: map[string]int{}, ByRequest: map[string]int{}},
		highestFence: map[string]int64{},
		callsByKey:   map[string]*keyedCall{},
	}
	s.server = &http.Server{Handler: s.mux}
	s.mux.HandleFunc("/", s.serveCall)
	s.mux.HandleFunc("GET /admin/counts", s.serveCounts)
	s.mux.HandleFunc("POST /admin/faults", s.serveFaults)
	return s
}

// Handler returns the HTTP handler.
func (s *Service) Handler() http.Handler { return s.mux }

// Serve accepts connections until Close.
func (s *Service) Serve(l net.Listener) error {
	err := s.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close stops Serve and closes all connections.
func (s *Service) Close() error { return s.server.Close() }

// Counts returns a copy of the counts.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.ByKey = maps.Clone(c.ByKey)
	c.ByRequest = maps.Clone(c.ByRequest)
	for _, n := range c.ByKey {
		c.MaxByKey = max(c.MaxByKey, n)
	}
	return c
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// serveCall serves all paths except those below /admin/.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.consumeFault(func(f *Faults) *int { return &f.Refuse }, &s.counts.Refused) {
		w.Header().Set(protocol.HeaderNotRun, protocol.NotRunTrue)
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if s.hasStaleFence(r) {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	answer, err := s.executeOnce(r, string(body))
	if err != nil {
		return
	}
	s.respond(w, r, answer)
}

// respond sends the answer, unless an injected fault prevents that.
func (s *Service) respond(w http.ResponseWriter, r *http.Request, answer Answer) {
	if s.consumeFault(func(f *Faults) *int { return &f.Drop }, &s.counts.Dropped) {
		panic(http.ErrAbortHandler)
	}
	if s.consumeFault(func(f *Faults) *int { return &f.Hang }, &s.counts.Hung) {
		<-r.Context().Done()
		return
	}
	if s.consumeFault(func(f *Faults) *int { return &f.Fail }, &s.counts.Failed) {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	writeJSON(w, answer)
}

// executeOnce runs the call. With deduplication, only the first call of a key runs; the others wait for its answer.
func (s *Service) executeOnce(r *http.Request, body string) (Answer, error) {
	key := r.Header.Get(protocol.HeaderIdempotencyKey)
	if !s.opts.Deduplicate || key == "" {
		return s.execute(r, key, body)
	}
	s.mu.Lock()
	k, ok := s.callsByKey[key]
	if !ok {
		k = &keyedCall{done: make(chan struct{})}
		s.callsByKey[key] = k
	} else {
		s.counts.Repeated++
	}
	s.mu.Unlock()
	if ok {
		select {
		case <-k.done:
			return k.answer, nil
		case <-r.Context().Done():
			return Answer{}, r.Context().Err()
		}
	}
	// The first call of a key runs to its end even if its caller disconnects, so that repeated calls get an answer.
	k.answer, _ = s.execute(r.WithContext(context.WithoutCancel(r.Context())), key, body)
	close(k.done)
	return k.answer, nil
}

// execute runs a call. The call is counted when it starts.
func (s *Service) execute(r *http.Request, key, body string) (Answer, error) {
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return Answer{}, r.Context().Err()
	}
	defer func() { <-s.slots }()
	id := r.Header.Get(protocol.HeaderRequestID)
	a := Answer{RequestID: id, Key: key, Method: r.Method, Path: r.URL.RequestURI(), Echo: body}
	a.Execution = s.countExecution(id, key)
	time.Sleep(s.opts.Latency)
	return a, nil
}

// countExecution returns the number of the execution, from 1.
func (s *Service) countExecution(id, key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Executions++
	s.counts.ByRequest[id]++
	if key != "" {
		s.counts.ByKey[key]++
	}
	return s.counts.Executions
}

// hasStaleFence reports whether the fencing number of a call is lower than the highest one seen for its key.
func (s *Service) hasStaleFence(r *http.Request) bool {
	key := r.Header.Get(protocol.HeaderIdempotencyKey)
	fence, err := strconv.ParseInt(r.Header.Get(protocol.HeaderFence), 10, 64)
	if !s.opts.CheckFencing || key == "" || err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence < s.highestFence[key] {
		s.counts.Stale++
		return true
	}
	s.highestFence[key] = fence
	return false
}

// consumeFault reports whether a fault applies. If so, it decrements the fault's count unless that is negative (no
// limit), and increments counter.
func (s *Service) consumeFault(fault func(*Faults) *int, counter *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := fault(&s.faults)
	if *remaining == 0 {
		return false
	}
	if *remaining > 0 {
		*remaining--
	}
	*counter++
	return true
}

func (s *Service) serveCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) }

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", protocol.ContentTypeJSON)
	_ = json.NewEncoder(w).Encode(v)
}
