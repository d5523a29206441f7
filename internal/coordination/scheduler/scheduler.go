package scheduler

import (
	"cmp"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// goneMark is the highest incarnation of a router that is known to be gone.
type goneMark struct {
	through ident.Incarnation
	at      time.Duration
}

// Scheduler decides for one shard. It is not safe for concurrent use.
type Scheduler struct {
	opts     Options
	siblings int
	now      time.Duration
	started  bool
	// startedAt is the time of the first event. Requests that arrived earlier come from another dispatcher.
	startedAt time.Duration

	teams map[ident.TeamID]*team
	// limits are those of all configured teams; teams holds only those that asked for service.
	limits   map[ident.TeamID]TeamLimits
	fair     fairHeap
	classes  []*parkedClass
	skipped  []*team
	last     *team
	sessions map[sessionKey]*session
	gone     map[ident.RouterID]goneMark
	endings  endingQueue
	wheel    wheel
	recycled *request
	serial   uint64

	backends   []*backend
	byID       map[ident.BackendID]*backend
	configured bool
	// available is the set of backend servers that may get another request.
	available backendMask
	cache     prefixIndex
	share     []float64
	turn      uint64

	exchange exchange
	totals   totals
}

// New returns a scheduler without backend servers.
func New(opts Options) *Scheduler {
	return &Scheduler{
		opts:     opts,
		siblings: max(opts.Siblings, 1),
		teams:    map[ident.TeamID]*team{},
		sessions: map[sessionKey]*session{},
		gone:     map[ident.RouterID]goneMark{},
		byID:     map[ident.BackendID]*backend{},
		cache:    newPrefixIndex(),
		turn:     opts.Seed,
		exchange: newExchange(),
	}
}

// at takes in the time of an event. Time never goes back.
func (s *Scheduler) at(now time.Duration) {
	if !s.started {
		s.started = true
		s.now = now
		s.startedAt = now
		return
	}
	s.now = max(s.now, now)
}

// SetBackends replaces the backend servers of the shard. Those that stay keep their state; new ones and those that
// return from draining ramp up. A list of an older generation is ignored.
func (s *Scheduler) SetBackends(now time.Duration, gen ident.Generation, list []Backend, siblings int, out *Decisions) {
	s.at(now)
	if gen < s.opts.Generation {
		return
	}
	s.opts.Generation = gen
	s.siblings = max(siblings, 1)
	s.configured = true
	for _, b := range s.backends {
		b.index = -1
	}
	s.backends = s.backends[:0]
	for _, c := range list {
		s.listBackend(c)
	}
	for _, b := range s.byID {
		if b.index < 0 {
			b.ramp = rampStart
		}
	}
	s.share = make([]float64, len(s.backends))
	s.forgetUnlisted()
	s.remask()
	s.refresh()
	s.turnAwayBlocked(out)
	s.pump(out)
}

func (s *Scheduler) listBackend(c Backend) {
	b := s.byID[c.ID]
	if b == nil {
		b = newBackend(c)
		s.byID[c.ID] = b
	} else if b.index >= 0 {
		return // listed twice
	} else if b.Draining && !c.Draining {
		b.ramp = rampStart
	}
	b.Backend = c
	b.index = len(s.backends)
	s.backends = append(s.backends, b)
}

// forgetUnlisted drops backend servers that left the configuration and run nothing.
func (s *Scheduler) forgetUnlisted() {
	for id, b := range s.byID {
		if b.index < 0 && b.running == 0 {
			delete(s.byID, id)
		}
	}
}

// current returns the account that counts for b, which may have been forgotten, and listed anew, since b was stored.
func (s *Scheduler) current(b *backend) *backend {
	if b == nil {
		return nil
	}
	if known := s.byID[b.ID]; known != nil {
		return known
	}
	s.byID[b.ID] = b
	return b
}

// accepting says whether the configuration has a backend server for new work.
func (s *Scheduler) accepting() bool {
	for _, b := range s.backends {
		if !b.Draining {
			return true
		}
	}
	return false
}

// hasCandidate reports whether a backend server takes new work that the request does not exclude. A request without one
// would wait for its deadline; its ingress may drop the exclusions instead.
func (s *Scheduler) hasCandidate(r *request) bool {
	for _, b := range s.backends {
		if !b.Draining && !r.excluded(b.ID) {
			return true
		}
	}
	return false
}

// SetTeam sets a team's weight and limits.
func (s *Scheduler) SetTeam(id ident.TeamID, limits TeamLimits) {
	t := s.teamOf(id)
	t.setLimits(limits)
	s.reorder(t)
}

// SetTeams sets the weights and limits of all configured teams. The table is shared with other shards and must not be
// modified. An account is made when a team first asks for service: accounts for all teams in each shard would be state
// of the size teams times shards. A team that is not in the table keeps its limits.
func (s *Scheduler) SetTeams(limits map[ident.TeamID]TeamLimits) {
	s.limits = limits
	for id, t := range s.teams {
		l, ok := limits[id]
		if !ok {
			continue
		}
		t.setLimits(l)
		s.reorder(t)
	}
}

func (s *Scheduler) teamOf(id ident.TeamID) *team {
	t := s.teams[id]
	if t == nil {
		t = newTeam(id)
		t.setLimits(s.limits[id])
		s.teams[id] = t
	}
	return t
}

// Load takes in a load report.
func (s *Scheduler) Load(now time.Duration, r LoadReport, out *Decisions) {
	s.at(now)
	b := s.byID[r.Backend]
	if b == nil {
		return
	}
	b.report(s.now, r)
	s.pump(out)
}

// Cache takes in a change of an engine's prefix cache.
func (s *Scheduler) Cache(now time.Duration, e CacheEvent) {
	s.at(now)
	b := s.byID[e.Backend]
	if b == nil {
		return
	}
	if e.Cleared {
		b.cacheEpoch++
	}
	for _, h := range e.Removed {
		s.cache.remove(h, b)
	}
	for _, h := range e.Added {
		s.cache.add(h, b, s.now)
	}
}

// RouterGone forgets the requests of a router's processes up to the given incarnation and releases their grants.
func (s *Scheduler) RouterGone(now time.Duration, router ident.RouterID, through ident.Incarnation, out *Decisions) {
	s.at(now)
	if g := s.gone[router]; g.through < through {
		s.gone[router] = goneMark{through: through, at: s.now}
	}
	for _, ss := range s.sessionsOf(router, through) {
		s.closeSession(ss)
	}
	s.pump(out)
}

// RouterBack takes requests again of a router's process that was held gone and is not. Earlier processes stay gone.
func (s *Scheduler) RouterBack(now time.Duration, router ident.RouterID, incarnation ident.Incarnation) {
	s.at(now)
	g, ok := s.gone[router]
	if !ok || g.through < incarnation || incarnation == 0 {
		return
	}
	g.through = incarnation - 1
	s.gone[router] = g
}

// sessionsOf lists the sessions of a router's processes up to an incarnation, in order.
func (s *Scheduler) sessionsOf(router ident.RouterID, through ident.Incarnation) []*session {
	var found []*session
	for key, ss := range s.sessions {
		if key.router == router && key.incarnation <= through {
			found = append(found, ss)
		}
	}
	slices.SortFunc(found, func(a, b *session) int { return cmp.Compare(a.incarnation, b.incarnation) })
	return found
}

func (s *Scheduler) closeSession(ss *session) {
	for r := ss.first; r != nil; r = ss.first {
		s.leave(r)
		s.setCharge(r, r.reported)
		s.drop(r)
	}
	delete(s.sessions, ss.sessionKey)
}

// Tick does what time alone brings: deadlines, grant expiry, probes, service deltas and announcements.
func (s *Scheduler) Tick(now time.Duration, out *Decisions) {
	s.at(now)
	s.wheel.advance(s.now, func(r *request) { s.expire(r, out) })
	s.forgetEndings()
	s.forgetGone()
	s.forgetUnlisted()
	s.pump(out)
	s.announce(out)
}

func (s *Scheduler) forgetGone() {
	for router, g := range s.gone {
		if g.at+goneRetention <= s.now {
			delete(s.gone, router)
		}
	}
}

// expire handles a request whose check is due.
func (s *Scheduler) expire(r *request, out *Decisions) {
	switch r.state {
	case stateQueued:
		s.reject(r, message.RejectDeadline, out)
	case stateGranted:
		s.lose(r)
	case stateLost:
		s.record(r.session, r.seq, ending{attempt: r.attempt, kind: endSettled})
		s.drop(r)
	}
}
