package scheduler

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// sessionKey identifies an ingress process.
type sessionKey struct {
	router      ident.RouterID
	incarnation ident.Incarnation
}

// session holds the state of an ingress process: its requests in order of registration, and the outcomes of its recent
// attempts by sequence number.
type session struct {
	sessionKey
	requests    map[uint64]*request
	outcomes    map[uint64]outcome
	first, last *request
}

// outcomeKind says how an attempt left the scheduler.
type outcomeKind uint8

const (
	outcomeSettled outcomeKind = iota + 1
	// outcomeUnused means that the attempt did not run under a grant of this dispatcher.
	outcomeUnused
	outcomeRejected
	outcomeRedirected
)

// outcome records how an attempt left the scheduler, so that a repeated Enqueue gets the same answer.
type outcome struct {
	attempt uint32
	kind    outcomeKind
	reason  message.RejectReason
	to      uint16
}

// outcomeRecord identifies a stored outcome and the time at which it was recorded.
type outcomeRecord struct {
	session    *session
	seq        uint64
	attempt    uint32
	recordedAt time.Duration
}

func (ss *session) add(r *request) {
	ss.requests[r.seq] = r
	r.prev = ss.last
	if ss.last == nil {
		ss.first = r
	} else {
		ss.last.next = r
	}
	ss.last = r
}

func (ss *session) remove(r *request) {
	delete(ss.requests, r.seq)
	if r.prev == nil {
		ss.first = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		ss.last = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
}

// getOrCreateSession returns the session of the request's ingress process, or nil if the process is known to be gone.
func (s *Scheduler) getOrCreateSession(ref ident.RequestRef) *session {
	key := sessionKey{ref.Router, ref.Incarnation}
	if ss := s.sessions[key]; ss != nil {
		return ss
	}
	if gone, ok := s.tombstones[ref.Router]; ok && ref.Incarnation <= gone.highest {
		return nil
	}
	ss := &session{sessionKey: key, requests: map[uint64]*request{}, outcomes: map[uint64]outcome{}}
	s.sessions[key] = ss
	return ss
}

// findAttempt returns the request if the scheduler holds exactly this attempt, or nil.
func (s *Scheduler) findAttempt(ref ident.AttemptRef) *request {
	ss := s.sessions[sessionKey{ref.Request.Router, ref.Request.Incarnation}]
	if ss == nil {
		return nil
	}
	r := ss.requests[ref.Request.Seq]
	if r == nil || r.attempt != ref.Attempt {
		return nil
	}
	return r
}

// recordOutcome stores the outcome of an attempt unless one of the same or a later attempt is stored.
func (s *Scheduler) recordOutcome(ss *session, seq uint64, o outcome) {
	if old, ok := ss.outcomes[seq]; ok && old.attempt >= o.attempt {
		return
	}
	ss.outcomes[seq] = o
	s.outcomes.push(outcomeRecord{session: ss, seq: seq, attempt: o.attempt, recordedAt: s.now})
	if s.outcomes.size() > maxOutcomes {
		s.dropOldestOutcome()
	}
}

// expireOutcomes drops the outcomes that are older than outcomeRetention.
func (s *Scheduler) expireOutcomes() {
	for s.outcomes.size() > 0 && s.outcomes.front().recordedAt+outcomeRetention <= s.now {
		s.dropOldestOutcome()
	}
}

func (s *Scheduler) dropOldestOutcome() {
	rec := s.outcomes.pop()
	ss := rec.session
	if ss.outcomes[rec.seq].attempt == rec.attempt {
		delete(ss.outcomes, rec.seq)
	}
	if len(ss.outcomes) == 0 && len(ss.requests) == 0 && s.sessions[ss.sessionKey] == ss {
		delete(s.sessions, ss.sessionKey)
	}
}

// outcomeQueue is a FIFO queue of outcome records in a ring buffer that grows as needed.
type outcomeQueue struct {
	ring  []outcomeRecord
	head  int
	count int
}

func (q *outcomeQueue) size() int { return q.count }

func (q *outcomeQueue) front() *outcomeRecord { return &q.ring[q.head] }

func (q *outcomeQueue) push(rec outcomeRecord) {
	if q.count == len(q.ring) {
		q.grow()
	}
	q.ring[(q.head+q.count)%len(q.ring)] = rec
	q.count++
}

func (q *outcomeQueue) grow() {
	ring := make([]outcomeRecord, max(64, 2*len(q.ring)))
	n := copy(ring, q.ring[q.head:])
	copy(ring[n:], q.ring[:q.head])
	q.ring = ring
	q.head = 0
}

func (q *outcomeQueue) pop() outcomeRecord {
	rec := q.ring[q.head]
	q.ring[q.head] = outcomeRecord{}
	q.head = (q.head + 1) % len(q.ring)
	q.count--
	return rec
}
