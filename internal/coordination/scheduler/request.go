package scheduler

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Limits of the lists in a message.
const (
	maxPrefixes = 8
	maxExcludes = 4
)

// requestState is the stage of an attempt.
type requestState uint8

const (
	stateQueued requestState = iota + 1
	// stateGranted holds a slot of a backend server.
	stateGranted
	// stateLost was granted and released for lack of reports. It holds no slot.
	stateLost
)

// request is an attempt that the scheduler knows. Values are recycled.
type request struct {
	session *session
	seq     uint64
	attempt uint32
	team    *team
	state   requestState

	hint     ident.Cost
	estimate ident.Cost
	// charge is what the team's counter holds for the attempt.
	charge ident.Cost
	// runs says that a Running report named the attempt. Copies of its Enqueue that come after are late.
	runs bool
	// adopted says that another dispatcher granted the attempt and charged its estimate.
	adopted bool
	// reported is the cost that the ingress reported.
	reported ident.Cost
	// weight and lifts are the team's at the time of the grant, and before that at the time of registration.
	weight float64
	lifts  uint32
	lag    int64

	arrival time.Duration
	// serial breaks ties between equal arrivals.
	serial   uint64
	queuePos int
	prefixes int
	prefix   [maxPrefixes]uint64
	excludes int
	exclude  [maxExcludes]ident.BackendID
	// allowed is the set of backend servers that are not excluded; set while queued, if some are.
	allowed    backendMask
	domain     ident.DomainID
	redirected bool

	backend *backend
	// deadline and due are the end of waiting and the time of the next check by the wheel.
	deadline time.Duration
	due      time.Duration
	timer    timerLink

	prev, next *request
}

func (r *request) ref() ident.AttemptRef {
	return ident.AttemptRef{
		Request: ident.RequestRef{Router: r.session.router, Incarnation: r.session.incarnation, Seq: r.seq},
		Attempt: r.attempt,
	}
}

func (r *request) earlier(o *request) bool {
	if r.arrival != o.arrival {
		return r.arrival < o.arrival
	}
	return r.serial < o.serial
}

// excluded says whether the attempt must not run on the backend server.
func (r *request) excluded(id ident.BackendID) bool {
	for i := range r.excludes {
		if r.exclude[i] == id {
			return true
		}
	}
	return false
}

// fill takes over what the message says about placement.
func (r *request) fill(m *message.Enqueue) {
	r.hint = boundCost(m.Hint)
	r.prefixes = copy(r.prefix[:], m.Prefix)
	r.excludes = copy(r.exclude[:], m.Exclude)
	r.domain = m.Domain
	r.redirected = m.Redirected
}

// allocate returns a cleared request.
func (s *Scheduler) allocate() *request {
	r := s.recycled
	if r == nil {
		r = new(request)
	} else {
		s.recycled = r.next
		*r = request{}
	}
	r.queuePos = notInHeap
	r.timer.slot = notInWheel
	return r
}

// newRequest creates a request and registers it with its session.
func (s *Scheduler) newRequest(ss *session, ref ident.AttemptRef, t *team) *request {
	r := s.allocate()
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

// drop forgets a request that holds neither a queue place nor a slot.
func (s *Scheduler) drop(r *request) {
	s.wheel.remove(r)
	r.session.remove(r)
	r.session, r.team, r.backend = nil, nil, nil
	r.next = s.recycled
	s.recycled = r
}
