package scheduler

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// sessionKey names an ingress process.
type sessionKey struct {
	router      ident.RouterID
	incarnation ident.Incarnation
}

// session holds what the scheduler knows of an ingress process: its requests in order of registration, and the ends of
// recent attempts.
type session struct {
	sessionKey
	requests    map[uint64]*request
	ended       map[uint64]ending
	first, last *request
}

// endingKind says how an attempt left the scheduler.
type endingKind uint8

const (
	endSettled endingKind = iota + 1
	// endUnused is the end of an attempt that did not run under a grant of this dispatcher.
	endUnused
	endRejected
	endRedirected
)

// ending is the end of an attempt. A repeated Enqueue gets the same answer.
type ending struct {
	attempt uint32
	kind    endingKind
	reason  message.RejectReason
	to      uint16
}

// endingRecord orders endings by age.
type endingRecord struct {
	session *session
	seq     uint64
	attempt uint32
	at      time.Duration
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

// lookup returns the session of a reference, or nil when its process is known to be gone.
func (s *Scheduler) lookup(ref ident.RequestRef) *session {
	key := sessionKey{ref.Router, ref.Incarnation}
	if ss := s.sessions[key]; ss != nil {
		return ss
	}
	if g, ok := s.gone[ref.Router]; ok && ref.Incarnation <= g.through {
		return nil
	}
	ss := &session{sessionKey: key, requests: map[uint64]*request{}, ended: map[uint64]ending{}}
	s.sessions[key] = ss
	return ss
}

// find returns the request with exactly this attempt, or nil.
func (s *Scheduler) find(ref ident.AttemptRef) *request {
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

// record remembers the end of an attempt.
func (s *Scheduler) record(ss *session, seq uint64, e ending) {
	if old, ok := ss.ended[seq]; ok && old.attempt >= e.attempt {
		return
	}
	ss.ended[seq] = e
	s.endings.push(endingRecord{session: ss, seq: seq, attempt: e.attempt, at: s.now})
	if s.endings.size() > maxSettled {
		s.forgetOldest()
	}
}

// forgetEndings drops the ends of attempts that are too old to be repeated.
func (s *Scheduler) forgetEndings() {
	for s.endings.size() > 0 && s.endings.front().at+settledRetention <= s.now {
		s.forgetOldest()
	}
}

func (s *Scheduler) forgetOldest() {
	rec := s.endings.pop()
	ss := rec.session
	if ss.ended[rec.seq].attempt == rec.attempt {
		delete(ss.ended, rec.seq)
	}
	if len(ss.ended) == 0 && len(ss.requests) == 0 && s.sessions[ss.sessionKey] == ss {
		delete(s.sessions, ss.sessionKey)
	}
}

// endingQueue is a growing ring of ending records.
type endingQueue struct {
	ring  []endingRecord
	head  int
	count int
}

func (q *endingQueue) size() int { return q.count }

func (q *endingQueue) front() *endingRecord { return &q.ring[q.head] }

func (q *endingQueue) push(rec endingRecord) {
	if q.count == len(q.ring) {
		q.grow()
	}
	q.ring[(q.head+q.count)%len(q.ring)] = rec
	q.count++
}

func (q *endingQueue) grow() {
	ring := make([]endingRecord, max(64, 2*len(q.ring)))
	n := copy(ring, q.ring[q.head:])
	copy(ring[n:], q.ring[:q.head])
	q.ring = ring
	q.head = 0
}

func (q *endingQueue) pop() endingRecord {
	rec := q.ring[q.head]
	q.ring[q.head] = endingRecord{}
	q.head = (q.head + 1) % len(q.ring)
	q.count--
	return rec
}
