package serverlimit

import (
	"cmp"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

const (
	// TrialRate is the lowest rate, in requests per second, that a limit stands for. Its responses show whether the limit
	// still holds.
	TrialRate = 0.5
	// recoveryStep is how long a limit that has ended stays at one rate, which is then doubled.
	recoveryStep = 400 * time.Millisecond
	// recoverySteps is the number of steps after which a server has no limit any more.
	recoverySteps = 4
	// minRecoveryRate is the rate, in requests per second, that the steps start from for a server with a lower limit.
	minRecoveryRate = 2.0
	// endRetention is how long an ended limit is kept to be compared with late statements.
	endRetention = 10 * time.Minute
	// absenceRetention is how long a limit is kept after the store has ceased to list the server, which may run on and come
	// back with the same start.
	absenceRetention = 10 * time.Minute
)

// Statement is what one response says about the rate of requests that its server takes.
type Statement struct {
	// Limited is set if the response names a limit. Rate is the limit in requests per second, from all routers together.
	Limited bool
	Rate    float64
	// SentAt is when the request was sent, ReceivedAt when the header of the response had been read.
	SentAt, ReceivedAt time.Time
}

// lessRestrictiveThan reports whether s permits more than another statement.
func (s Statement) lessRestrictiveThan(other Statement) bool {
	if !s.Limited || !other.Limited {
		return other.Limited
	}
	return s.Rate > other.Rate
}

// sameLimit reports whether both statements name the same limit, or none.
func (s Statement) sameLimit(other Statement) bool {
	return s.Limited == other.Limited && (!s.Limited || s.Rate == other.Rate)
}

// Change is the effect of a statement.
type Change uint8

// Effects of a statement.
const (
	// Unchanged means that the server says what it said before, or that a later statement is known.
	Unchanged Change = iota
	// Started means that a server without a limit has named one.
	Started
	// Adjusted means that a server has named another limit.
	Adjusted
	// Ended means that a server no longer names its limit.
	Ended
)

// String returns the name of the change for logs.
func (c Change) String() string {
	switch c {
	case Started:
		return "started"
	case Adjusted:
		return "adjusted"
	case Ended:
		return "ended"
	default:
		return "unchanged"
	}
}

// limit is what a server has said.
type limit struct {
	server *backends.Server
	// latest is the statement that counts. Its interval covers all responses that said the same.
	latest Statement
	// rate is the limit last named, in requests per second.
	rate float64
	// since is when the response arrived that started the limit, or that ended it.
	since time.Time
}

// absentLimit is the limit of an incarnation that the store does not list.
type absentLimit struct {
	*limit
	// absentSince is when Expire first noticed the absence, or zero.
	absentSince time.Time
}

// Registry holds the limits by server. It is not safe for concurrent use.
type Registry struct {
	servers *backends.Set
	limits  map[string]*limit
	// absent holds the limits of incarnations that the store does not list.
	absent map[backends.Incarnation]*absentLimit
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		servers: backends.NewSet(nil), limits: make(map[string]*limit), absent: make(map[backends.Incarnation]*absentLimit),
	}
}

// SetServers replaces the known servers. The limits of servers that are gone or have restarted are set aside, and hold
// again if the same incarnation comes back.
func (r *Registry) SetServers(set *backends.Set) {
	r.servers = set
	for id, l := range r.limits {
		if incarnation := l.server.Incarnation(); !set.Has(incarnation) {
			delete(r.limits, id)
			r.absent[incarnation] = &absentLimit{limit: l}
		}
	}
	for incarnation, l := range r.absent {
		if set.Has(incarnation) {
			delete(r.absent, incarnation)
			l.server = set.Get(incarnation.ID)
			r.limits[incarnation.ID] = l.limit
		}
	}
}

// Receive records what a response of a server says. The statement of an incarnation that the store does not list has no
// effect until the incarnation comes back.
func (r *Registry) Receive(server *backends.Server, s Statement) Change {
	if !r.servers.Has(server.Incarnation()) {
		r.receiveAbsent(server, s)
		return Unchanged
	}
	current := r.servers.Get(server.ID)
	l := r.limits[server.ID]
	if l == nil {
		if !s.Limited {
			return Unchanged
		}
		r.limits[server.ID] = &limit{server: current, latest: s, rate: s.Rate, since: s.ReceivedAt}
		return Started
	}
	return l.apply(s)
}

// receiveAbsent records what a response of an incarnation says that the store does not list.
func (r *Registry) receiveAbsent(server *backends.Server, s Statement) {
	incarnation := server.Incarnation()
	switch known := r.absent[incarnation]; {
	case known != nil:
		known.apply(s)
	case s.Limited:
		r.absent[incarnation] = &absentLimit{limit: &limit{server: server, latest: s, rate: s.Rate, since: s.ReceivedAt}}
	}
}

// apply records a further statement.
func (l *limit) apply(s Statement) Change {
	before := l.latest
	if !s.ReceivedAt.After(before.SentAt) {
		return Unchanged
	}
	if s.sameLimit(before) {
		l.latest.SentAt = later(before.SentAt, s.SentAt)
		l.latest.ReceivedAt = later(before.ReceivedAt, s.ReceivedAt)
		return Unchanged
	}
	if s.SentAt.Before(before.ReceivedAt) && s.lessRestrictiveThan(before) {
		return Unchanged
	}
	l.latest = s
	switch {
	case !s.Limited:
		l.since = s.ReceivedAt
		return Ended
	case !before.Limited:
		l.rate, l.since = s.Rate, s.ReceivedAt
		return Started
	default:
		l.rate = s.Rate
		return Adjusted
	}
}

// Rate returns how many requests a second a server may get from all routers together. It returns false if the server
// has no limit.
func (r *Registry) Rate(now time.Time, id string) (float64, bool) {
	l := r.limits[id]
	if l == nil {
		return 0, false
	}
	if l.latest.Limited {
		return max(l.rate, TrialRate), true
	}
	step := l.recoveryStep(now)
	if step >= recoverySteps {
		return 0, false
	}
	return max(l.rate, minRecoveryRate) * float64(int(2)<<step), true
}

// recoveryStep returns the number of whole steps since the end of a limit.
func (l *limit) recoveryStep(now time.Time) int {
	return int(max(now.Sub(l.since), 0) / recoveryStep)
}

// Named returns the limit that a server names, in requests per second. It returns false if it names none.
func (r *Registry) Named(id string) (float64, bool) {
	l := r.limits[id]
	if l == nil || !l.latest.Limited {
		return 0, false
	}
	return l.rate, true
}

// Expire drops the limits that have ended long ago, and those of incarnations that have long been absent.
func (r *Registry) Expire(now time.Time) {
	for id, l := range r.limits {
		if !l.latest.Limited && now.Sub(l.since) > endRetention {
			delete(r.limits, id)
		}
	}
	for incarnation, l := range r.absent {
		switch {
		case l.absentSince.IsZero():
			l.absentSince = now
		case now.Sub(l.absentSince) > absenceRetention, !l.latest.Limited && now.Sub(l.since) > endRetention:
			delete(r.absent, incarnation)
		}
	}
}

// Skip dates all statements back by a time for which the clock stood still.
func (r *Registry) Skip(d time.Duration) {
	for _, l := range r.limits {
		l.skip(d)
	}
	for _, l := range r.absent {
		l.skip(d)
	}
}

func (l *limit) skip(d time.Duration) {
	l.latest.SentAt = l.latest.SentAt.Add(-d)
	l.latest.ReceivedAt = l.latest.ReceivedAt.Add(-d)
	l.since = l.since.Add(-d)
}

// Known reports whether a server has a limit, or had one that is not forgotten.
func (r *Registry) Known(id string) bool { return r.limits[id] != nil }

// Len returns the number of servers with a limit, or with one that has ended recently.
func (r *Registry) Len() int { return len(r.limits) }

// Status describes the limit of a server that names one.
type Status struct {
	Server, Service string
	// Named is the limit in requests per second.
	Named float64
	// Age is the time since the server first named a limit, Confirmed the time since the last response that named it.
	Age, Confirmed time.Duration
}

// List returns the limits in force, ordered by server.
func (r *Registry) List(now time.Time) []Status {
	var list []Status
	for id, l := range r.limits {
		if l.latest.Limited {
			list = append(list, Status{
				Server: id, Service: l.server.Service, Named: l.rate,
				Age: now.Sub(l.since), Confirmed: now.Sub(l.latest.ReceivedAt),
			})
		}
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
