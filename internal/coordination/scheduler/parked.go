package scheduler

import "slices"

// maskBits is the number of bits of a backendMask. Backend servers with a higher index share bits, so that a mask may
// contain too many.
const maskBits = 64

// backendMask is a set of backend servers by index in the scheduler's list.
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

// parkedGroup holds teams whose queued requests excluded every backend server that was available. allowed is the set of
// backend servers that some of their requests may use. Teams with the same set share a group, so that a pass checks
// each group instead of each team.
type parkedGroup struct {
	allowed backendMask
	teams   teamHeap
}

// allowedBackends returns the backend servers that at least one queued request of the team may use.
func (t *team) allowedBackends() backendMask {
	if len(t.unrestricted) > 0 {
		return ^backendMask(0)
	}
	var m backendMask
	for _, r := range t.restricted {
		m |= r.allowed
	}
	return m
}

// heapOf returns the heap of the team's parked group, or the ready queue if the team is not parked.
func (s *Scheduler) heapOf(t *team) *teamHeap {
	if t.group != nil {
		return &t.group.teams
	}
	return &s.ready
}

// park moves a team from the ready queue to the parked group of its allowed backend servers.
func (s *Scheduler) park(t *team) {
	s.ready.remove(t)
	allowed := t.allowedBackends()
	i := slices.IndexFunc(s.parkedGroups, func(g *parkedGroup) bool { return g.allowed == allowed })
	if i < 0 {
		i = len(s.parkedGroups)
		s.parkedGroups = append(s.parkedGroups, &parkedGroup{allowed: allowed})
	}
	t.group = s.parkedGroups[i]
	t.group.teams.push(t)
}

// unpark removes a team from its parked group. The caller adds it to the ready queue.
func (s *Scheduler) unpark(t *team) {
	g := t.group
	g.teams.remove(t)
	t.group = nil
	if len(g.teams) == 0 {
		s.parkedGroups = slices.DeleteFunc(s.parkedGroups, func(o *parkedGroup) bool { return o == g })
	}
}

// unparkFirst returns the first team of each group that may use an available backend server to the ready queue. It is
// lifted like a team that becomes backlogged, so that it gains no credit for the time it was parked.
func (s *Scheduler) unparkFirst() {
	for i := len(s.parkedGroups) - 1; i >= 0; i-- {
		g := s.parkedGroups[i]
		if g.allowed&s.available != 0 {
			t := g.teams[0].team
			s.unpark(t)
			s.activate(t)
		}
	}
}

// unparkAll returns all parked teams to the ready queue.
func (s *Scheduler) unparkAll() {
	for len(s.parkedGroups) > 0 {
		t := s.parkedGroups[0].teams[0].team
		s.unpark(t)
		s.activate(t)
	}
}

// recomputeMasks unparks all teams and recomputes the sets of allowed backend servers after a change of the list.
func (s *Scheduler) recomputeMasks() {
	s.unparkAll()
	for _, t := range s.teams {
		for _, r := range t.restricted {
			r.allowed = s.allowedMask(r)
		}
	}
}
