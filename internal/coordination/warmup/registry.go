package warmup

import (
	"cmp"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

const (
	// recoveryStep is how long a server stays at one rate after its warm-up, which is then doubled.
	recoveryStep = 400 * time.Millisecond
	// recoverySteps is the number of steps after which a server has no rate any more.
	recoverySteps = 4
	// minExtension is the time by which another router's report must extend a warm-up to count. The same statement reaches
	// the routers at slightly different times.
	minExtension = 100 * time.Millisecond
	// departureRetention is how long a server is remembered whose entry is gone, so that a restart under its ID is noticed.
	departureRetention = time.Minute
)

// Source is how a warm-up became known.
type Source uint8

// Sources of a warm-up.
const (
	// Entry is the server's entry in the store.
	Entry Source = iota + 1
	// Response is a response of the server.
	Response
	// EvacuationEnd is the end of the evacuation of the server's failure domain.
	EvacuationEnd
	// Return is a connection that the server refused: it has ended, and is cold when it is back.
	Return
)

var sourceNames = [...]string{"", "entry", "response", "evacuation-end", "return"}

// String returns the source's name for logs and metrics.
func (s Source) String() string {
	if int(s) >= len(sourceNames) {
		return "unknown"
	}
	return sourceNames[s]
}

// Config is what the configuration says about the cold servers of a service.
type Config struct {
	// PerSecond is the number of requests a second that a cold server takes from all routers together. 0 means that the
	// service's servers are never cold.
	PerSecond float64
	// Duration is how long a server is cold that does not say so itself.
	Duration time.Duration
}

// Statement is what a response says about its server.
type Statement struct {
	// Left is the time for which the server is still cold. 0 means that it is warm.
	Left time.Duration
	// SentAt is when the request was sent, ReceivedAt when the header of the response had been read.
	SentAt, ReceivedAt time.Time
}

// Change is the start, the extension or the end of a warm-up.
type Change struct {
	Server *backends.Server
	Source Source
	// Left is the time left, or 0 at the end.
	Left time.Duration
	// Started is set if the server was not cold before.
	Started bool
	// Own is set if this router cannot expect others to know of the warm-up.
	Own bool
}

// state is what is known about a server that is cold or was cold recently.
type state struct {
	server *backends.Server
	source Source
	// at is when the statement in force was received, until when the warm-up ends.
	at, until time.Time
	// down is set from a refused connection until the next response. The warm-up begins with that response.
	down bool
	// ended is set once the end has been reported.
	ended bool
}

// Registry holds the warm-ups by server. It is not safe for concurrent use.
type Registry struct {
	servers  *backends.Set
	services map[string]Config
	states   map[string]*state
	// departed holds the servers whose entries are gone.
	departed map[string]departure
	changes  []Change
}

// departure is a server whose entry is gone, and since when.
type departure struct {
	server *backends.Server
	at     time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		servers: backends.NewSet(nil), services: make(map[string]Config), states: make(map[string]*state),
		departed: make(map[string]departure),
	}
}

// SetServices replaces the configuration by service.
func (r *Registry) SetServices(services map[string]Config) { r.services = services }

// SetServers replaces the known servers and applies what their entries say. An entry counts when it says something new. A
// server that has restarted is cold unless its entry says that it is not.
func (r *Registry) SetServers(now time.Time, set *backends.Set) {
	before := r.servers
	r.servers = set
	for id, server := range before.All() {
		if set.Get(id) == nil {
			r.departed[id] = departure{server: server, at: now}
		}
	}
	for id, server := range set.All() {
		known := before.Get(id)
		if known == nil {
			known = r.departed[id].server
			delete(r.departed, id)
		}
		switch {
		case known != nil && !known.SameStart(server):
			delete(r.states, id)
			r.applyRestart(now, server)
		case namesNewWarmup(known, server):
			r.apply(now, server, Entry, server.ColdLeft)
		}
		if s := r.states[id]; s != nil {
			s.server = server
		}
	}
}

// namesNewWarmup reports whether a server's entry says something about a warm-up that its known entry did not. known may
// be nil.
func namesNewWarmup(known, server *backends.Server) bool {
	return server.ColdNamed && (known == nil || !known.ColdNamed || known.ColdLeft != server.ColdLeft)
}

// applyRestart records that a server has restarted under its ID.
func (r *Registry) applyRestart(now time.Time, server *backends.Server) {
	left := server.ColdLeft
	if !server.ColdNamed {
		left = r.services[server.Service].Duration
	}
	r.apply(now, server, Entry, left)
}

// apply records that a server is cold for a time from now on, or warm if that is 0.
func (r *Registry) apply(now time.Time, server *backends.Server, source Source, left time.Duration) {
	s := r.states[server.ID]
	if s == nil {
		if left <= 0 {
			return
		}
		s = &state{server: server, ended: true}
		r.states[server.ID] = s
	}
	started := !s.cold(now)
	if started && left <= 0 && !s.down {
		s.at = now
		return // the rate goes on rising
	}
	longer := now.Add(left).Sub(s.until) > minExtension
	s.source, s.at, s.until, s.down = source, now, now.Add(left), false
	if left > 0 {
		s.ended = false
		if started || longer {
			r.changes = append(r.changes, Change{
				Server: server, Source: source, Left: left, Started: started, Own: source == Response || source == Return,
			})
		}
	}
}

// Receive records what a response of a server says. Statements of an earlier incarnation are ignored.
func (r *Registry) Receive(server *backends.Server, s Statement) {
	current := r.current(server)
	if current == nil {
		return
	}
	if known := r.states[server.ID]; known != nil && s.SentAt.Before(known.at) {
		if s.ReceivedAt.Add(s.Left).Before(known.end(s.ReceivedAt)) {
			return
		}
	}
	r.apply(s.ReceivedAt, current, Response, s.Left)
}

// RecordRefused records that a server refused a connection. It is cold from its first response on.
func (r *Registry) RecordRefused(now time.Time, server *backends.Server) {
	current := r.current(server)
	config := r.services[server.Service]
	if current == nil || config.PerSecond <= 0 || config.Duration <= 0 {
		return
	}
	r.apply(now, current, Return, config.Duration)
	r.states[server.ID].down = true
}

// RecordResponse records that a server has responded. If it had refused connections, it is cold from now on.
func (r *Registry) RecordResponse(now time.Time, server *backends.Server) {
	if s := r.states[server.ID]; s != nil && s.down && s.server.SameStart(server) {
		s.until = now // so that the extension is reported
		r.apply(now, s.server, Return, r.services[s.server.Service].Duration)
	}
}

// RecordEvacuationEnd records that the evacuation of a failure domain has ended.
func (r *Registry) RecordEvacuationEnd(now time.Time, domain string) {
	for _, server := range r.servers.All() {
		config := r.services[server.Service]
		if server.FailureDomain != domain || config.PerSecond <= 0 || config.Duration <= 0 {
			continue
		}
		if s := r.states[server.ID]; s == nil || s.end(now).Before(now.Add(config.Duration)) {
			r.apply(now, server, EvacuationEnd, config.Duration)
		}
	}
}

// current returns the known server of the same incarnation, or nil.
func (r *Registry) current(server *backends.Server) *backends.Server {
	current := r.servers.Get(server.ID)
	if current == nil || !current.SameStart(server) {
		return nil
	}
	return current
}

// cold reports whether the server is cold.
func (s *state) cold(now time.Time) bool { return s.down || now.Before(s.until) }

// end returns when the warm-up ends by what is known now.
func (s *state) end(now time.Time) time.Time {
	if s.down && s.until.Before(now) {
		return now
	}
	return s.until
}

// Rate returns how many requests a second a server may get from all routers together. It returns false if the server is
// warm.
func (r *Registry) Rate(now time.Time, id string) (float64, bool) {
	s := r.states[id]
	if s == nil {
		return 0, false
	}
	rate := r.services[s.server.Service].PerSecond
	switch step := s.recoveryStep(now); {
	case rate <= 0:
		return 0, false
	case s.cold(now):
		return rate, true
	case step >= recoverySteps:
		return 0, false
	default:
		return rate * float64(int(2)<<step), true
	}
}

// recoveryStep returns the number of whole steps since the end of the warm-up.
func (s *state) recoveryStep(now time.Time) int { return int(max(now.Sub(s.until), 0) / recoveryStep) }

// Expire reports the warm-ups that have ended and drops those whose rate has risen.
func (r *Registry) Expire(now time.Time) {
	for id, d := range r.departed {
		if now.Sub(d.at) > departureRetention {
			delete(r.departed, id)
		}
	}
	for id, s := range r.states {
		if s.down && r.servers.Get(id) == nil {
			s.down = false // its next entry tells whether it is cold
		}
		if s.cold(now) {
			continue
		}
		if !s.ended {
			s.ended = true
			r.changes = append(r.changes, Change{Server: s.server, Source: s.source})
		}
		if s.recoveryStep(now) >= recoverySteps {
			delete(r.states, id)
		}
	}
}

// TakeChanges returns the changes since the last call, those of services without a rate left out.
func (r *Registry) TakeChanges() []Change {
	changes := slices.DeleteFunc(r.changes, func(c Change) bool { return r.services[c.Server.Service].PerSecond <= 0 })
	r.changes = nil
	return changes
}

// Len returns the number of servers that are cold or were cold recently.
func (r *Registry) Len() int {
	n := 0
	for _, s := range r.states {
		if r.services[s.server.Service].PerSecond > 0 {
			n++
		}
	}
	return n
}

// Status describes a cold server.
type Status struct {
	Server, Service string
	Source          Source
	// Left is the time until the end of the warm-up, Age the time since the statement that it is known from.
	Left, Age time.Duration
}

// List returns the cold servers, ordered by ID.
func (r *Registry) List(now time.Time) []Status {
	var list []Status
	for id, s := range r.states {
		if s.cold(now) && r.services[s.server.Service].PerSecond > 0 {
			list = append(list, Status{
				Server: id, Service: s.server.Service, Source: s.source, Left: s.end(now).Sub(now), Age: now.Sub(s.at),
			})
		}
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Server, b.Server) })
	return list
}
