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

	mu     sync.Mutex
	counts Counts
	faults Faults
	fences map[string]int64
	known  map[string]*known
}

// known is a call that runs or ran, by its key.
type known struct {
	done   chan struct{}
	answer Answer
}

// New returns a service that serves through Handler or Serve.
func New(opts Options) *Service {
	if opts.Concurrency == 0 {
		opts.Concurrency = defaultConcurrency
	}
	s := &Service{
		opts:   opts,
		mux:    http.NewServeMux(),
		slots:  make(chan struct{}, opts.Concurrency),
		counts: Counts{ByKey: map[string]int{}, ByRequest: map[string]int{}},
		fences: map[string]int64{},
		known:  map[string]*known{},
	}
	s.server = &http.Server{Handler: s.mux}
	s.mux.HandleFunc("/", s.call)
	s.mux.HandleFunc("GET /admin/counts", s.adminCounts)
	s.mux.HandleFunc("POST /admin/faults", s.adminFaults)
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

// Close ends all connections.
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

// call serves all paths of the service.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.hit(func(f *Faults) *int { return &f.Refuse }, &s.counts.Refused) {
		w.Header().Set(protocol.HeaderNotRun, protocol.NotRunTrue)
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if s.stale(r) {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	answer, err := s.answer(r, string(body))
	if err != nil {
		return
	}
	s.reply(w, r, answer)
}

// reply answers, unless a fault keeps the answer back.
func (s *Service) reply(w http.ResponseWriter, r *http.Request, answer Answer) {
	if s.hit(func(f *Faults) *int { return &f.Drop }, &s.counts.Dropped) {
		panic(http.ErrAbortHandler)
	}
	if s.hit(func(f *Faults) *int { return &f.Hang }, &s.counts.Hung) {
		<-r.Context().Done()
		return
	}
	if s.hit(func(f *Faults) *int { return &f.Fail }, &s.counts.Failed) {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	writeJSON(w, answer)
}

// answer runs the call, or finds the answer of its key.
func (s *Service) answer(r *http.Request, body string) (Answer, error) {
	key := r.Header.Get(protocol.HeaderIdempotencyKey)
	if !s.opts.Deduplicate || key == "" {
		return s.run(r, key, body)
	}
	s.mu.Lock()
	k, ok := s.known[key]
	if !ok {
		k = &known{done: make(chan struct{})}
		s.known[key] = k
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
	// The first call of a key runs to its end even when its caller is gone, so that repeats find an answer.
	k.answer, _ = s.run(r.WithContext(context.WithoutCancel(r.Context())), key, body)
	close(k.done)
	return k.answer, nil
}

// run executes a call. It is counted when it starts.
func (s *Service) run(r *http.Request, key, body string) (Answer, error) {
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return Answer{}, r.Context().Err()
	}
	defer func() { <-s.slots }()
	id := r.Header.Get(protocol.HeaderRequestID)
	a := Answer{RequestID: id, Key: key, Method: r.Method, Path: r.URL.RequestURI(), Echo: body}
	a.Execution = s.count(id, key)
	time.Sleep(s.opts.Latency)
	return a, nil
}

func (s *Service) count(id, key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Executions++
	s.counts.ByRequest[id]++
	if key != "" {
		s.counts.ByKey[key]++
	}
	return s.counts.Executions
}

// stale checks the fencing number of a call against the highest one seen for its key.
func (s *Service) stale(r *http.Request) bool {
	key := r.Header.Get(protocol.HeaderIdempotencyKey)
	fence, err := strconv.ParseInt(r.Header.Get(protocol.HeaderFence), 10, 64)
	if !s.opts.CheckFencing || key == "" || err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence < s.fences[key] {
		s.counts.Stale++
		return true
	}
	s.fences[key] = fence
	return false
}

// hit uses one of a fault's count and counts it.
func (s *Service) hit(fault func(*Faults) *int, counter *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := fault(&s.faults)
	if *left == 0 {
		return false
	}
	if *left > 0 {
		*left--
	}
	*counter++
	return true
}

func (s *Service) adminCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) }

func (s *Service) adminFaults(w http.ResponseWriter, r *http.Request) {
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
