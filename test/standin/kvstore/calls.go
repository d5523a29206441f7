package kvstore

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	s.ranges.Add(1)
	var request rangeRequest
	f, ok := s.admit(w, r, &s.reads, &request)
	if !ok {
		return
	}
	s.data.mu.Lock()
	response := s.data.read(request, f.StaleBy)
	s.data.mu.Unlock()
	writeJSON(w, response)
}

func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	s.txns.Add(1)
	var request txnRequest
	f, ok := s.admit(w, r, &s.writes, &request)
	if !ok {
		return
	}
	if message := invalid(request); message != "" {
		writeError(w, codeInvalid, message)
		return
	}
	mode := s.takeLost(f)
	if mode != LostNone {
		s.lose(w, request, f, mode)
		return
	}
	writeJSON(w, s.runTxn(request))
}

func (s *Server) runTxn(request txnRequest) *txnResponse {
	s.data.mu.Lock()
	defer s.data.mu.Unlock()
	return s.data.txn(request)
}

func invalid(request txnRequest) string {
	for _, c := range request.Compare {
		if c.Target != "MOD" {
			return "only comparisons of mod_revision are supported"
		}
	}
	for _, op := range append(request.Success, request.Failure...) {
		if op.Put != nil && len(op.Put.Value) > maxValueBytes {
			return "etcdserver: request is too large"
		}
	}
	return ""
}

// takeLost returns the fate of the next write and counts down the lost answers.
func (s *Server) takeLost(f Faults) LostMode {
	if f.Lost == LostNone || f.LostCount == 0 {
		return f.Lost
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lostLeft <= 0 {
		return LostNone
	}
	s.lostLeft--
	return f.Lost
}

func (s *Server) lose(w http.ResponseWriter, request txnRequest, f Faults, mode LostMode) {
	s.lost.Add(1)
	switch mode {
	case LostApplied:
		s.runTxn(request)
	case LostLate:
		time.AfterFunc(time.Duration(f.LateMS)*time.Millisecond, func() { s.runTxn(request) })
	}
	if f.Ambiguous {
		writeError(w, codeUnavailable, "etcdserver: request timed out")
		return
	}
	// The server closes the connection without an answer.
	panic(http.ErrAbortHandler)
}

func (s *Server) serveLease(w http.ResponseWriter, r *http.Request) {
	s.leases.Add(1)
	var request leaseRequest
	if _, ok := s.admit(w, r, &s.writes, &request); !ok {
		return
	}
	s.data.mu.Lock()
	defer s.data.mu.Unlock()
	switch {
	case strings.HasSuffix(r.URL.Path, "/grant"):
		writeJSON(w, s.data.grant(request))
	case strings.HasSuffix(r.URL.Path, "/keepalive"):
		writeJSON(w, streamed[leaseResponse]{s.data.keepAlive(request.ID)})
	case s.data.revoke(request.ID):
		writeJSON(w, leaseResponse{Header: header{s.data.revision}})
	default:
		writeError(w, codeNotFound, "etcdserver: requested lease not found")
	}
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	s.watches.Add(1)
	var request watchRequest
	if _, ok := s.admit(w, r, &s.reads, &request); !ok {
		return
	}
	if request.Create == nil {
		writeError(w, codeInvalid, "only create_request is supported")
		return
	}
	s.open.Add(1)
	defer s.open.Add(-1)
	w.Header().Set("Content-Type", "application/json")
	s.stream(r, *request.Create, func(response watchResponse) error {
		if err := json.NewEncoder(w).Encode(streamed[watchResponse]{response}); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	})
}

// stream sends events until the client leaves or an outage begins.
func (s *Server) stream(r *http.Request, create watchCreate, send func(watchResponse) error) {
	s.mu.Lock()
	broken := s.broken
	s.mu.Unlock()
	s.data.mu.Lock()
	now := s.data.revision
	compacted := s.data.compacted
	s.data.mu.Unlock()
	next := create.StartRevision
	if next == 0 {
		next = now + 1
	}
	if next <= compacted {
		_ = send(watchResponse{Header: header{now}, Created: true, Canceled: true, CompactRevision: compacted + 1})
		return
	}
	if send(watchResponse{Header: header{now}, Created: true}) != nil {
		return
	}
	for {
		s.data.mu.Lock()
		events, changed := s.data.since(create, next)
		now = s.data.revision
		s.data.mu.Unlock()
		next = now + 1
		if len(events) > 0 && send(watchResponse{Header: header{now}, Events: events}) != nil {
			return
		}
		select {
		case <-changed:
		case <-broken:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}
