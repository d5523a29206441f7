package kvstore

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxBodyBytes holds a value of 1 MB in base64 with its frame.
const maxBodyBytes = 2 << 20

// maxValueBytes is the platform's limit of a value.
const maxValueBytes = 1 << 20

// Options configure a store. Zero rates mean the defaults, negative ones no limit.
type Options struct {
	WritesPerSecond int
	ReadsPerSecond  int
	// MaxEvents bounds the history for watches; 0 means 10,000. Older events are compacted.
	MaxEvents int
}

// Server is the stand-in. It is an http.Handler with the gateway's paths and these of its own:
// GET /admin/counters, GET /admin/faults, and POST /admin/faults with Faults.
type Server struct {
	mux    *http.ServeMux
	data   *data
	writes rate
	reads  rate

	mu       sync.Mutex
	faults   Faults
	lostLeft int
	broken   chan struct{}

	ranges, txns, leases, watches, throttled, refused, lost, bytesIn, open atomic.Int64
}

// New returns an empty store.
func New(opts Options) *Server {
	s := &Server{mux: http.NewServeMux(), data: newData(int(orDefault(opts.MaxEvents, defaultMaxEvents))), broken: make(chan struct{})}
	s.writes.limit = orDefault(opts.WritesPerSecond, DefaultWritesPerSecond)
	s.reads.limit = orDefault(opts.ReadsPerSecond, DefaultReadsPerSecond)
	s.mux.HandleFunc("POST /v3/kv/range", s.serveRange)
	s.mux.HandleFunc("POST /v3/kv/txn", s.serveTxn)
	s.mux.HandleFunc("POST /v3/lease/grant", s.serveLease)
	s.mux.HandleFunc("POST /v3/lease/keepalive", s.serveLease)
	s.mux.HandleFunc("POST /v3/lease/revoke", s.serveLease)
	s.mux.HandleFunc("POST /v3/watch", s.serveWatch)
	s.mux.HandleFunc("GET /admin/counters", s.serveCounters)
	s.mux.HandleFunc("GET /admin/faults", s.serveFaults)
	s.mux.HandleFunc("POST /admin/faults", s.serveFaults)
	return s
}

func orDefault(value, otherwise int) int64 {
	if value == 0 {
		return int64(otherwise)
	}
	return int64(value)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.lostLeft = f.LostCount
	if f.Outage || f.Hang {
		close(s.broken)
		s.broken = make(chan struct{})
	}
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counters returns the numbers of calls.
func (s *Server) Counters() Counters {
	return Counters{
		Range: s.ranges.Load(), Txn: s.txns.Load(), Lease: s.leases.Load(), Watch: s.watches.Load(),
		Throttled: s.throttled.Load(), Refused: s.refused.Load(), Lost: s.lost.Load(),
		BytesIn: s.bytesIn.Load(), WatchesOpen: s.open.Load(),
		PeakWritesPS: s.writes.highest(), PeakReadsPS: s.reads.highest(),
	}
}

func (s *Server) serveCounters(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counters()) }

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&f); err != nil {
			writeError(w, codeInvalid, err.Error())
			return
		}
		s.SetFaults(f)
	}
	writeJSON(w, s.Faults())
}

// admit reads the body and applies the faults that hit all calls. It answers refused calls itself.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, limit *rate, into any) (Faults, bool) {
	f := s.Faults()
	body, err := io.ReadAll(r.Body)
	s.bytesIn.Add(int64(len(body)))
	if err != nil || json.Unmarshal(body, into) != nil {
		writeError(w, codeInvalid, "invalid request")
		return f, false
	}
	if f.Hang {
		<-r.Context().Done()
		s.refused.Add(1)
		return f, false
	}
	if !pause(r, f.DelayMS) {
		return f, false
	}
	if f.Outage {
		s.refused.Add(1)
		writeError(w, codeUnavailable, "etcdserver: no leader")
		return f, false
	}
	if !limit.allow(time.Now()) {
		s.throttled.Add(1)
		writeError(w, codeExhausted, "etcdserver: too many requests")
		return f, false
	}
	return f, true
}

// pause waits and says whether the client is still there.
func pause(r *http.Request, milliseconds int) bool {
	if milliseconds <= 0 {
		return true
	}
	timer := time.NewTimer(time.Duration(milliseconds) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
