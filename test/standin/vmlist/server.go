package vmlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Values of VM.State.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// maxBodyBytes limits the size of a list. A list of 400 VMs takes 60 KB.
const maxBodyBytes = 4 << 20

// VM is an entry VM.
type VM struct {
	ID            string `json:"id"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
}

// List is the response body of GET /v1/vms and the request body of POST /admin/vms.
type List struct {
	VMs []VM `json:"vms"`
	// LagMS replaces the lag, in milliseconds, if set. It is used on the admin endpoint only.
	LagMS *int64 `json:"lag_ms,omitempty"`
	// Outage starts or ends an outage, if set. It is used on the admin endpoint only.
	Outage *bool `json:"outage,omitempty"`
}

// Options configures the stand-in.
type Options struct {
	// VMs is the initial list. It is visible at once.
	VMs []VM
	// Lag is the time until a new list becomes visible.
	Lag time.Duration
}

// Server is the stand-in. It serves GET /v1/vms, and POST /admin/vms with a List as the body.
type Server struct {
	mux     *http.ServeMux
	visible atomic.Pointer[[]VM]
	calls   atomic.Int64
	outage  atomic.Bool

	mu  sync.Mutex
	lag time.Duration
}

// New returns a stand-in that serves opts.VMs.
func New(opts Options) *Server {
	s := &Server{mux: http.NewServeMux(), lag: opts.Lag}
	s.makeVisible(opts.VMs)
	s.mux.HandleFunc("GET /v1/vms", s.serveList)
	s.mux.HandleFunc("POST /admin/vms", s.serveSet)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

// Set replaces the list; it becomes visible after the lag.
func (s *Server) Set(list []VM) {
	s.mu.Lock()
	lag := s.lag
	s.mu.Unlock()
	if lag <= 0 {
		s.makeVisible(list)
		return
	}
	time.AfterFunc(lag, func() { s.makeVisible(list) })
}

// SetLag changes the lag of lists that are set later.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// SetOutage starts or ends an outage. During an outage, reads of the list fail with status 503.
func (s *Server) SetOutage(down bool) { s.outage.Store(down) }

// Calls returns the number of reads of the list.
func (s *Server) Calls() int64 { return s.calls.Load() }

func (s *Server) makeVisible(list []VM) {
	copied := append([]VM{}, list...)
	s.visible.Store(&copied)
}

func (s *Server) serveList(w http.ResponseWriter, _ *http.Request) {
	s.calls.Add(1)
	if s.outage.Load() {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(List{VMs: *s.visible.Load()})
}

func (s *Server) serveSet(w http.ResponseWriter, r *http.Request) {
	var list List
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if list.LagMS != nil {
		s.SetLag(time.Duration(*list.LagMS) * time.Millisecond)
	}
	if list.Outage != nil {
		s.SetOutage(*list.Outage)
	}
	if list.VMs != nil {
		s.Set(list.VMs)
	}
	w.WriteHeader(http.StatusNoContent)
}
