package scheduler

import (
	"cmp"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// tombstone records the highest incarnation of a router that is known to be gone, and when it was recorded.
type tombstone struct {
	highest    ident.Incarnation
	recordedAt time.Duration
}

// Scheduler schedules the requests of one shard. It is not safe for concurrent use.
type Scheduler struct {
	opts     Options
	siblings int
	now      time.Duration
	started  bool
	// startedAt is the time of the first event. Requests that arrived earlier come from another dispatcher.
	startedAt time.Duration

	// teams holds the accounts created so far; limits covers all configured teams.
	teams  map[ident.TeamID]*team
	limits map[ident.TeamID]TeamLimits
	// ready holds the teams with eligible work that are not parked.
	ready        teamHeap
	parkedGroups []*parkedGroup
	// skipped lists the teams taken out of ready until the end of the current pass.
	skipped []*team
	// lastServed sets the lift level while no team is ready: the team granted last, or one whose counter a sibling's
	// service delta raised above that team's.
	lastServed *team
	sessions   map[sessionKey]*session
	tombstones map[ident.RouterID]tombstone
	outcomes   outcomeQueue
	wheel      wheel
	freeList   *request
	serial     uint64

	backends   []*backend
	byID       map[ident.BackendID]*backend
	configured bool
	// available is the set of backend servers that may get another request.
	available backendMask
	cache     prefixIndex
	// cachedShare is scratch space for chooseBackend: per backend server, the share of the prompt in its cache.
	cachedShare []float64
	// rotation selects the backend server that the next choice looks at first.
	rotation uint64

	exchange serviceExchange
	totals   totals
}

// New returns a scheduler without backend servers.
func New(opts Options) *Scheduler {
	return &Scheduler{
		opts:       opts,
		siblings:   max(opts.Siblings, 1),
		teams:      map[ident.TeamID]*team{},
		sessions:   map[sessionKey]*session{},
		tombstones: map[ident.RouterID]tombstone{},
		byID:       map[ident.BackendID]*backend{},
		cache:      newPrefixIndex(),
		rotation:   opts.Seed,
		exchange:   newServiceExchange(),
	}
}

// advanceClock sets the current time to that of an event. Time never goes back.
func (s *Scheduler) advanceClock(now time.Duration) {
	if !s.started {
		s.started = true
		s.now = now
		s.startedAt = now
		return
	}
	s.now = max(s.now, now)
}

// SetBackends replaces the backend servers of the shard. Those that stay keep their state; new ones and those that
// return from draining ramp up. A list from an older generation is ignored.
func (s *Scheduler) SetBackends(now time.Duration, gen ident.Generation, list []Backend, siblings int, out *Decisions) {
	s.advanceClock(now)
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
		s.addBackend(c)
	}
	for _, b := range s.byID {
		if b.index < 0 {
			b.rampLimit = rampStart
		}
	}
	s.cachedShare = make([]float64, len(s.backends))
	s.dropUnlisted()
	s.recomputeMasks()
	s.refreshLimits()
	s.removeWithoutCandidate(out)
	s.grantQueued(out)
}

func (s *Scheduler) addBackend(c Backend) {
	b := s.byID[c.ID]
	if b == nil {
		b = newBackend(c)
		s.byID[c.ID] = b
	} else if b.index >= 0 {
		return // a duplicate in the list
	} else if b.Draining && !c.Draining {
		b.rampLimit = rampStart
	}
	b.Backend = c
	b.index = len(s.backends)
	s.backends = append(s.backends, b)
}

// dropUnlisted drops backend servers that are no longer configured and have no requests in flight.
func (s *Scheduler) dropUnlisted() {
	for id, b := range s.byID {
		if b.index < 0 && b.running == 0 {
			delete(s.byID, id)
		}
	}
}

// currentBackend returns the state in use for the backend server of b. Since b was stored, the scheduler may have
// dropped it and created a new one for the same backend server.
func (s *Scheduler) currentBackend(b *backend) *backend {
	if b == nil {
		return nil
	}
	if known := s.byID[b.ID]; known != nil {
		return known
	}
	s.byID[b.ID] = b
	return b
}

// hasAcceptingBackend reports whether some configured backend server accepts new work.
func (s *Scheduler) hasAcceptingBackend() bool {
	for _, b := range s.backends {
		if !b.Draining {
			return true
		}
	}
	return false
}

// hasCandidate reports whether some backend server accepts new work and is not excluded by the request. Without one the
// request would wait until its deadline; if it is answered at once, its ingress may retry without the exclusions.
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
	t := s.getOrCreateTeam(id)
	t.setLimits(limits)
	s.reorder(t)
}

// SetTeams sets the weights and limits of all configured teams. The table is shared with other shards and must not be
// modified. A team's account is created when it first needs one, because accounts for all teams in each shard would
// take memory proportional to teams times shards. A team that is not in the table keeps its limits.
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

func (s *Scheduler) getOrCreateTeam(id ident.TeamID) *team {
	t := s.teams[id]
	if t == nil {
		t = newTeam(id)
		t.setLimits(s.limits[id])
		s.teams[id] = t
	}
	return t
}

// ReportLoad applies a load report of a backend server.
func (s *Scheduler) ReportLoad(now time.Duration, r LoadReport, out *Decisions) {
	s.advanceClock(now)
	b := s.byID[r.Backend]
	if b == nil {
		return
	}
	b.recordLoad(s.now, r)
	s.grantQueued(out)
}

// UpdateCache applies a change of an engine's prefix cache.
func (s *Scheduler) UpdateCache(now time.Duration, e CacheEvent) {
	s.advanceClock(now)
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

// RouterGone drops the requests of a router's processes up to the given incarnation and releases their grants. Later
// messages of these processes are ignored.
func (s *Scheduler) RouterGone(now time.Duration, router ident.RouterID, highest ident.Incarnation, out *Decisions) {
	s.advanceClock(now)
	if gone := s.tombstones[router]; gone.highest < highest {
		s.tombstones[router] = tombstone{highest: highest, recordedAt: s.now}
	}
	for _, ss := range s.sessionsOf(router, highest) {
		s.closeSession(ss)
	}
	s.grantQueued(out)
}

// RouterReturned accepts requests again from a router's process that was wrongly reported gone. Earlier processes stay
// gone.
func (s *Scheduler) RouterReturned(now time.Duration, router ident.RouterID, incarnation ident.Incarnation) {
	s.advanceClock(now)
	gone, ok := s.tombstones[router]
	if !ok || gone.highest < incarnation || incarnation == 0 {
		return
	}
	gone.highest = incarnation - 1
	s.tombstones[router] = gone
}

// sessionsOf lists the sessions of a router's processes up to an incarnation, in order of incarnation.
func (s *Scheduler) sessionsOf(router ident.RouterID, highest ident.Incarnation) []*session {
	var found []*session
	for key, ss := range s.sessions {
		if key.router == router && key.incarnation <= highest {
			found = append(found, ss)
		}
	}
	slices.SortFunc(found, func(a, b *session) int { return cmp.Compare(a.incarnation, b.incarnation) })
	return found
}

func (s *Scheduler) closeSession(ss *session) {
	for r := ss.first; r != nil; r = ss.first {
		s.dequeueOrRelease(r)
		s.setCharge(r, r.reported)
		s.removeRequest(r)
	}
	delete(s.sessions, ss.sessionKey)
}

// Tick performs the work that depends on time alone: deadlines, grant expiry, probes, service deltas and announcements.
func (s *Scheduler) Tick(now time.Duration, out *Decisions) {
	s.advanceClock(now)
	s.wheel.advance(s.now, func(r *request) { s.handleTimeout(r, out) })
	s.expireOutcomes()
	s.expireTombstones()
	s.dropUnlisted()
	s.grantQueued(out)
	s.announce(out)
}

func (s *Scheduler) expireTombstones() {
	for router, gone := range s.tombstones {
		if gone.recordedAt+tombstoneRetention <= s.now {
			delete(s.tombstones, router)
		}
	}
}

// handleTimeout handles a request whose timer is due.
func (s *Scheduler) handleTimeout(r *request, out *Decisions) {
	switch r.state {
	case stateQueued:
		s.reject(r, message.RejectDeadline, out)
	case stateGranted:
		s.expireGrant(r)
	case stateExpired:
		s.recordOutcome(r.session, r.seq, outcome{attempt: r.attempt, kind: outcomeSettled})
		s.removeRequest(r)
	}
}
