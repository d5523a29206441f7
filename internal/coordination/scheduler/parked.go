package scheduler

import "slices"

// maskBits is the number of bits of a backendMask. Backend servers beyond it share bits, so that a mask may name too many.
const maskBits = 64

// backendMask is a set of backend servers by position in the scheduler's list.
type backendMask uint64

func maskOf(index int) backendMask { return 1 << (index % maskBits) }

// allowedMask returns the backend servers that the request does not exclude.
func (s *Scheduler) allowedMask(r *request) backendMask {
	var m backendMask
	for _, b := range s.backends {
		if !r.excluded(b.ID) {
			m |= maskOf(b.index)
		}
	}
	return m
}

// parkedClass holds backlogged teams that were passed over, because each of their requests excludes each backend server
// that was available. allowed is the set of those that some of their requests may use. Teams that wait for the same
// backend servers share a class, so that a pass over the queue looks at classes and not at teams.
type parkedClass struct {
	allowed backendMask
	teams   fairHeap
}

// allowedBy returns the backend servers that some queued request of the team may use.
func (t *team) allowedBy() backendMask {
	if len(t.free) > 0 {
		return ^backendMask(0)
	}
	var m backendMask
	for _, r := range t.bound {
		m |= r.allowed
	}
	return m
}

// heapOf returns the heap that the team is in.
func (s *Scheduler) heapOf(t *team) *fairHeap {
	if t.class != nil {
		return &t.class.teams
	}
	return &s.fair
}

// park moves a team from the fair order to its class.
func (s *Scheduler) park(t *team) {
	s.fair.remove(t)
	allowed := t.allowedBy()
	i := slices.IndexFunc(s.classes, func(c *parkedClass) bool { return c.allowed == allowed })
	if i < 0 {
		i = len(s.classes)
		s.classes = append(s.classes, &parkedClass{allowed: allowed})
	}
	t.class = s.classes[i]
	t.class.teams.push(t)
}

// unpark takes a team out of its class.
func (s *Scheduler) unpark(t *team) {
	c := t.class
	c.teams.remove(t)
	t.class = nil
	if len(c.teams) == 0 {
		s.classes = slices.DeleteFunc(s.classes, func(o *parkedClass) bool { return o == c })
	}
}

// unparkFirst brings the first team of each class that may use an available backend server back into the fair order. It
// is lifted like a team that wakes up, so that the time it was passed over earns no credit.
func (s *Scheduler) unparkFirst() {
	for i := len(s.classes) - 1; i >= 0; i-- {
		c := s.classes[i]
		if c.allowed&s.available != 0 {
			t := c.teams[0].team
			s.unpark(t)
			s.activate(t)
		}
	}
}

// unparkAll brings all parked teams back into the fair order.
func (s *Scheduler) unparkAll() {
	for len(s.classes) > 0 {
		t := s.classes[0].teams[0].team
		s.unpark(t)
		s.activate(t)
	}
}

// remask recomputes the sets of allowed backend servers after a change of the list.
func (s *Scheduler) remask() {
	s.unparkAll()
	for _, t := range s.teams {
		for _, r := range t.bound {
			r.allowed = s.allowedMask(r)
		}
	}
}
