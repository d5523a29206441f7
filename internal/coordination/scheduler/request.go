package scheduler

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Maximum lengths of the lists in an Enqueue message.
const (
	maxPrefixes = 8
	maxExcludes = 4
)

// requestState is the state of an attempt.
type requestState uint8

const (
	stateQueued requestState = iota + 1
	// stateGranted means that the attempt holds a slot of a backend server.
	stateGranted
	// stateExpired means that the grant was released because its ingress did not report on it. The attempt holds no slot.
	stateExpired
)

// request is an attempt that the scheduler tracks. Values are reused through a free list.
type request struct {
	session *session
	seq     uint64
	attempt uint32
	team    *team
	state   requestState

	hint     ident.Cost
	estimate ident.Cost
	// charge is the cost charged to the team for the attempt.
	charge ident.Cost
	// confirmedRunning reports whether a Running message named the attempt. Any Enqueue of it received after that is a
	// late duplicate.
	confirmedRunning bool
	// adopted reports whether another dispatcher granted the attempt and charged its estimate.
	adopted bool
	// reported is the cost that the ingress has reported so far.
	reported ident.Cost
	// weight and lifts are the team's values at the time of the grant, or before the grant at the time of registration.
	weight float64
	lifts  uint32
	// lag is the value sent with the grant, in weighted cost units.
	lag int64

	arrival time.Duration
	// serial is the order of registration; it breaks ties between equal arrival times.
	serial       uint64
	queuePos     int
	prefixCount  int
	prefix       [maxPrefixes]uint64
	excludeCount int
	exclude      [maxExcludes]ident.BackendID
	// allowed is the set of backend servers that are not excluded. It is set only for queued requests with exclusions.
	allowed    backendMask
	domain     ident.DomainID
	redirected bool

	backend *backend
	// deadline is the time until which the request may wait, due the time at which the timer wheel checks it next.
	deadline time.Duration
	due      time.Duration
	timer    timerLink

	// prev and next link the requests of a session; next also links the free list.
	prev, next *request
}

func (r *request) ref() ident.AttemptRef {
	return ident.AttemptRef{
		Request: ident.RequestRef{Router: r.session.router, Incarnation: r.session.incarnation, Seq: r.seq},
		Attempt: r.attempt,
	}
}

func (r *request) arrivedBefore(o *request) bool {
	if r.arrival != o.arrival {
		return r.arrival < o.arrival
	}
	return r.serial < o.serial
}

// excluded reports whether the attempt must not run on the backend server.
func (r *request) excluded(id ident.BackendID) bool {
	for i := range r.excludeCount {
		if r.exclude[i] == id {
			return true
		}
	}
	return false
}

// setPlacement copies the cost hint and the placement fields from the message.
func (r *request) setPlacement(m *message.Enqueue) {
	r.hint = clampMessageCost(m.Hint)
	r.prefixCount = copy(r.prefix[:], m.Prefix)
	r.excludeCount = copy(r.exclude[:], m.Exclude)
	r.domain = m.Domain
	r.redirected = m.Redirected
}

// allocateRequest returns a zeroed request, from the free list if possible.
func (s *Scheduler) allocateRequest() *request {
	r := s.freeList
	if r == nil {
		r = new(request)
	} else {
		s.freeList = r.next
		*r = request{}
	}
	r.queuePos = notInHeap
	r.timer.slot = notInWheel
	return r
}

// newRequest creates a request and registers it with its session.
func (s *Scheduler) newRequest(ss *session, ref ident.AttemptRef, t *team) *request {
	r := s.allocateRequest()
	s.serial++
	r.session = ss
	r.seq = ref.Request.Seq
	r.attempt = ref.Attempt
	r.team = t
	r.weight = t.weight
	r.lifts = t.lifts
	r.serial = s.serial
	ss.add(r)
	return r
}

// removeRequest unregisters a request that is not queued and holds no slot, and puts it on the free list.
func (s *Scheduler) removeRequest(r *request) {
	s.wheel.remove(r)
	r.session.remove(r)
	r.session, r.team, r.backend = nil, nil, nil
	r.next = s.freeList
	s.freeList = r
}
