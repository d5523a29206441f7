package kvstore

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	s.rangeCalls.Add(1)
	var request rangeRequest
	faults, ok := s.admit(w, r, &s.reads, &request)
	if !ok {
		return
	}
	s.data.mu.Lock()
	response := s.data.readRange(request, faults.StaleBy)
	s.data.mu.Unlock()
	writeJSON(w, response)
}

func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	s.txnCalls.Add(1)
	var request txnRequest
	faults, ok := s.admit(w, r, &s.writes, &request)
	if !ok {
		return
	}
	if message := validateTxn(request); message != "" {
		writeError(w, codeInvalidArgument, message)
		return
	}
	mode := s.nextLostMode(faults)
	if mode != LostNone {
		s.loseResponse(w, request, faults, mode)
		return
	}
	writeJSON(w, s.runTxn(request))
}

func (s *Server) runTxn(request txnRequest) *txnResponse {
	s.data.mu.Lock()
	defer s.data.mu.Unlock()
	return s.data.txn(request)
}

// Targets of comparisons.
const (
	targetRevision = "MOD"
	targetValue    = "VALUE"
)

// validateTxn returns the error message for a transaction that the store does not accept, or "".
func validateTxn(request txnRequest) string {
	for _, c := range request.Compare {
		if c.Target != targetRevision && c.Target != targetValue {
			return "only comparisons of mod_revision and value are supported"
		}
	}
	for _, op := range append(request.Success, request.Failure...) {
		if op.Put != nil && len(op.Put.Value) > maxValueBytes {
			return "etcdserver: request is too large"
		}
	}
	return ""
}

// nextLostMode returns how to treat the next write and decrements the number of responses still to be lost.
func (s *Server) nextLostMode(faults Faults) LostMode {
	if faults.Lost == LostNone || faults.LostCount == 0 {
		return faults.Lost
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lostRemaining <= 0 {
		return LostNone
	}
	s.lostRemaining--
	return faults.Lost
}

// loseResponse handles a write whose response is lost.
func (s *Server) loseResponse(w http.ResponseWriter, request txnRequest, faults Faults, mode LostMode) {
	s.lostWrites.Add(1)
	switch mode {
	case LostApplied:
		s.runTxn(request)
	case LostLate:
		time.AfterFunc(time.Duration(faults.LateMS)*time.Millisecond, func() { s.runTxn(request) })
	}
	if faults.Ambiguous {
		writeError(w, codeUnavailable, "etcdserver: request timed out")
		return
	}
	// Makes the HTTP server close the connection without a response.
	panic(http.ErrAbortHandler)
}

func (s *Server) serveLease(w http.ResponseWriter, r *http.Request) {
	s.leaseCalls.Add(1)
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
		writeJSON(w, streamMessage[leaseResponse]{s.data.keepAlive(request.ID)})
	case s.data.revoke(request.ID):
		writeJSON(w, leaseResponse{Header: s.data.header(s.data.revision)})
	default:
		writeError(w, codeNotFound, "etcdserver: requested lease not found")
	}
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	s.watchCalls.Add(1)
	var request watchRequest
	if _, ok := s.admit(w, r, &s.reads, &request); !ok {
		return
	}
	if request.Create == nil {
		writeError(w, codeInvalidArgument, "only create_request is supported")
		return
	}
	s.openWatches.Add(1)
	defer s.openWatches.Add(-1)
	w.Header().Set("Content-Type", "application/json")
	s.streamEvents(r, *request.Create, func(response watchResponse) error {
		if err := json.NewEncoder(w).Encode(streamMessage[watchResponse]{response}); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	})
}

// streamEvents sends the events of a watch until the client disconnects or an outage or hang starts.
func (s *Server) streamEvents(r *http.Request, create watchCreate, send func(watchResponse) error) {
	s.mu.Lock()
	outageStarted := s.outageStarted
	s.mu.Unlock()
	s.data.mu.Lock()
	revision := s.data.revision
	compacted := s.data.compacted
	s.data.mu.Unlock()
	next := create.StartRevision
	if next == 0 {
		next = revision + 1
	}
	if next <= compacted {
		_ = send(watchResponse{Header: s.data.header(revision), Created: true, Canceled: true, CompactRevision: compacted + 1})
		return
	}
	if send(watchResponse{Header: s.data.header(revision), Created: true}) != nil {
		return
	}
	for {
		s.data.mu.Lock()
		events, changed := s.data.eventsSince(create, next)
		revision = s.data.revision
		s.data.mu.Unlock()
		next = revision + 1
		if len(events) > 0 && send(watchResponse{Header: s.data.header(revision), Events: events}) != nil {
			return
		}
		select {
		case <-changed:
		case <-outageStarted:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}
