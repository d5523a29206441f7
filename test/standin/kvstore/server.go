package kvstore

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxBodyBytes leaves room for a value of 1 MB in base64 and the JSON around it.
const maxBodyBytes = 2 << 20

// maxValueBytes is the platform's size limit for values.
const maxValueBytes = 1 << 20

// Options configures a store. A rate of zero selects the default; a negative rate disables the limit.
type Options struct {
	WritesPerSecond int
	ReadsPerSecond  int
	// MaxEvents is the number of events kept for watches; 0 means 10,000. Older events are compacted.
	MaxEvents int
}

// Server is the stand-in: an http.Handler for the gateway's paths and for the admin endpoints GET /admin/counters,
// GET /admin/faults, and POST /admin/faults, which takes a Faults body.
type Server struct {
	mux    *http.ServeMux
	data   *versionedData
	writes rateLimiter
	reads  rateLimiter

	mu     sync.Mutex
	faults Faults
	// lostRemaining is the number of write responses still to be lost.
	lostRemaining int
	// outageStarted is closed and replaced when an outage or a hang starts.
	outageStarted chan struct{}

	rangeCalls, txnCalls, leaseCalls, watchCalls, throttled, refused, lostWrites, bytesIn, openWatches atomic.Int64
}

// New returns an empty store.
func New(opts Options) *Server {
	s := &Server{
		mux:           http.NewServeMux(),
		data:          newVersionedData(int(orDefault(opts.MaxEvents, defaultMaxEvents))),
		outageStarted: make(chan struct{}),
	}
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

func orDefault(value, fallback int) int64 {
	if value == 0 {
		return int64(fallback)
	}
	return int64(value)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.lostRemaining = f.LostCount
	if f.Outage || f.Hang {
		close(s.outageStarted)
		s.outageStarted = make(chan struct{})
	}
}

// Copy returns a copy of the present data.
func (s *Server) Copy() Copy {
	s.data.mu.Lock()
	defer s.data.mu.Unlock()
	return s.data.copy()
}

// Restore replaces the data by a copy, as a restore from a snapshot does: revisions go back and are given out again, leases
// are gone, and the cluster has another ID.
func (s *Server) Restore(c Copy) {
	s.data.mu.Lock()
	defer s.data.mu.Unlock()
	s.data.restore(c)
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counters returns the call counts since the start.
func (s *Server) Counters() Counters {
	return Counters{
		Range: s.rangeCalls.Load(), Txn: s.txnCalls.Load(), Lease: s.leaseCalls.Load(), Watch: s.watchCalls.Load(),
		Throttled: s.throttled.Load(), Refused: s.refused.Load(), Lost: s.lostWrites.Load(),
		BytesIn: s.bytesIn.Load(), WatchesOpen: s.openWatches.Load(),
		PeakWritesPS: s.writes.peakCount(), PeakReadsPS: s.reads.peakCount(),
	}
}

func (s *Server) serveCounters(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counters()) }

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&f); err != nil {
			writeError(w, codeInvalidArgument, err.Error())
			return
		}
		s.SetFaults(f)
	}
	writeJSON(w, s.Faults())
}

// admit decodes the body into request and applies the rate limit and the faults that affect all calls. It returns
// the faults in effect and whether to continue; if not, it has sent the error response or the client is gone.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, limiter *rateLimiter, request any) (Faults, bool) {
	faults := s.Faults()
	body, err := io.ReadAll(r.Body)
	s.bytesIn.Add(int64(len(body)))
	if err != nil || json.Unmarshal(body, request) != nil {
		writeError(w, codeInvalidArgument, "invalid request")
		return faults, false
	}
	if faults.Hang {
		<-r.Context().Done()
		s.refused.Add(1)
		return faults, false
	}
	if !delay(r, faults.DelayMS) {
		return faults, false
	}
	if faults.Outage {
		s.refused.Add(1)
		writeError(w, codeUnavailable, "etcdserver: no leader")
		return faults, false
	}
	if !limiter.allow(time.Now()) {
		s.throttled.Add(1)
		writeError(w, codeResourceExhausted, "etcdserver: too many requests")
		return faults, false
	}
	return faults, true
}

// delay waits and reports whether the client is still connected.
func delay(r *http.Request, milliseconds int) bool {
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
