package discovery

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// Schema recognises the store's keys and decodes their values.
type Schema interface {
	IsConfig(key string) bool
	DecodeConfig(value []byte, revision int64) (*routing.Config, error)
	IsServer(key string) bool
	ServerID(key string) string
	DecodeServer(key string, value []byte) (*backends.Server, error)
	IsRouter(key string) bool
	RouterID(key string) string
	DecodeRouter(key string, value []byte) (Router, error)
	// IsEvacuation recognises a key that names an evacuated failure domain. EvacuatedDomain returns the domain.
	IsEvacuation(key string) bool
	EvacuatedDomain(key string) (string, error)
}

// Router is the store entry of a router.
type Router struct {
	ID string
	// PeerAddress is the address that receives datagrams of other routers.
	PeerAddress netip.AddrPort
	// Incarnation differs between the starts of a router.
	Incarnation uint64
}

// StateOptions configure a State.
type StateOptions struct {
	Schema  Schema
	Routing *routing.Holder
	Servers *backends.Holder
	Log     *zap.Logger
	// OnRouters is called with the registered routers, by ID, when routers or servers changed. Optional.
	OnRouters func(map[string]Router)
	// OnServers is called with the set of servers when servers or routers changed. Optional.
	OnServers func(*backends.Set)
	// OnEvacuations is called with the evacuated failure domains, sorted, when they changed, before OnServers is called for
	// the same change. Optional.
	OnEvacuations func(domains []string)
	// OnConfig is called with a configuration that came into force. Optional.
	OnConfig func(*routing.Table)
	// OnInvalid is called for each value of an entry that cannot be decoded. Optional.
	OnInvalid func()
	// OnInvalidRouter is called with the ID of a router whose entry has a value that cannot be decoded. Optional.
	OnInvalidRouter func(id string)
}

// State holds the decoded content of the store: backend servers, routers and configuration. It implements Sink.
type State struct {
	opts    StateOptions
	servers map[string]*backends.Server
	// expiring holds the servers whose entries disappeared after an outage, with the time at which they are dropped.
	expiring map[string]time.Time
	routers  map[string]Router
	// expiringRouters is like expiring for routers.
	expiringRouters map[string]time.Time
	// departed holds the servers that were dropped lately. An older copy of the store may still list them.
	departed    map[string]departure
	evacuations *evacuations
	// bound holds, while an older copy is applied, the servers that are known to drain.
	bound map[string]*backends.Server
	// revisions holds the revision of each entry of a server or router by key. Older changes of a key are ignored, since
	// pages of a listing may be older than changes that follow.
	revisions map[string]kv.Revision
	// invalidLogged holds when an entry that cannot be decoded was last logged, by key.
	invalidLogged map[string]time.Time
	// startsKnown is set once an entry of a server has had a start time. An entry without one is then that of another
	// writer. Before, it is that of a deployment whose servers never state it.
	startsKnown bool
}

// errNoStart reports an entry of a server without a start time.
var errNoStart = errors.New("start time is missing, which other entries have")

const (
	// invalidLogInterval is the shortest time between two log lines about an entry that cannot be decoded. A writer may
	// write it again and again.
	invalidLogInterval = time.Minute
	// maxInvalidLogged bounds the entries for which it is kept.
	maxInvalidLogged = 256
)

var _ Sink = (*State)(nil)

// NewState returns an empty state.
func NewState(opts StateOptions) *State {
	if opts.OnRouters == nil {
		opts.OnRouters = func(map[string]Router) {}
	}
	if opts.OnServers == nil {
		opts.OnServers = func(*backends.Set) {}
	}
	if opts.OnEvacuations == nil {
		opts.OnEvacuations = func([]string) {}
	}
	if opts.OnConfig == nil {
		opts.OnConfig = func(*routing.Table) {}
	}
	if opts.OnInvalid == nil {
		opts.OnInvalid = func() {}
	}
	if opts.OnInvalidRouter == nil {
		opts.OnInvalidRouter = func(string) {}
	}
	return &State{
		opts:      opts,
		servers:   make(map[string]*backends.Server),
		expiring:  make(map[string]time.Time),
		routers:   make(map[string]Router),
		revisions: make(map[string]kv.Revision),

		expiringRouters: make(map[string]time.Time),
		departed:        make(map[string]departure),
		invalidLogged:   make(map[string]time.Time),
		evacuations:     newEvacuations(),
	}
}

// departure is a server that was dropped, and when.
type departure struct {
	server *backends.Server
	at     time.Time
}

// departureRetention is how long dropped servers are remembered. It is well above the age of the copies that a store may
// come back from.
const departureRetention = time.Minute

// Replace implements Sink.
func (s *State) Replace(entries []kv.Entry, now, graceEnd time.Time) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	for _, e := range entries {
		s.noteStart(e)
	}
	changed := false
	for key := range s.revisions {
		if !listed[key] {
			changed = s.applyDeletion(key, now, graceEnd) || changed
		}
	}
	for _, e := range entries {
		changed = s.applyEntry(e, now) || changed
	}
	s.publish(changed)
}

// Restore implements Sink. The copy may list servers that have left since, or show servers as ready that drain: both
// stay out of use. A server whose entry the copy lacks is kept until graceEnd, and so is a router. A failure domain that was
// evacuated stays so for evacuationGrace.
func (s *State) Restore(entries []kv.Entry, now, graceEnd time.Time) {
	for key := range s.revisions {
		s.revisions[key] = 0 // the copy's revisions do not compare with those before
	}
	s.bound = make(map[string]*backends.Server)
	for id, server := range s.servers {
		if server.Draining {
			s.bound[id] = server
		}
	}
	s.evacuations.beginRestore(now)
	s.Replace(slices.DeleteFunc(slices.Clone(entries), s.hasDeparted), now, graceEnd)
	s.evacuations.endRestore()
	s.bound = nil
}

// noteStart records whether an entry of a server has a start time. All entries of a listing are checked before the first one
// is applied, so that the result does not depend on their order.
func (s *State) noteStart(e kv.Entry) {
	if s.startsKnown || !s.opts.Schema.IsServer(e.Key) {
		return
	}
	server, err := s.opts.Schema.DecodeServer(e.Key, e.Value)
	s.startsKnown = err == nil && server.StartedAt != 0
}

// hasDeparted reports whether an entry is that of a server that was dropped lately, and not of a later start of it.
func (s *State) hasDeparted(e kv.Entry) bool {
	if !s.opts.Schema.IsServer(e.Key) {
		return false
	}
	d, ok := s.departed[s.opts.Schema.ServerID(e.Key)]
	if !ok {
		return false
	}
	server, err := s.opts.Schema.DecodeServer(e.Key, e.Value)
	return err == nil && server.SameIncarnation(d.server)
}

// Apply implements Sink.
func (s *State) Apply(changes []kv.Change, now, graceEnd time.Time) {
	for _, c := range changes {
		s.noteStart(c.Entry)
	}
	changed := false
	for _, c := range changes {
		if c.Revision <= s.revisions[c.Key] {
			continue
		}
		if c.Deleted {
			changed = s.applyDeletion(c.Key, now, graceEnd) || changed
		} else {
			changed = s.applyEntry(c.Entry, now) || changed
		}
	}
	s.publish(changed)
}

// Expire implements Sink.
func (s *State) Expire(now time.Time) {
	changed := false
	for id, at := range s.expiring {
		if now.Before(at) {
			continue
		}
		s.opts.Log.Info("backend server gone", zap.String("server", id), zap.String("cause", "entry did not come back"),
			zap.Duration("late", now.Sub(at)))
		changed = s.dropServer(id, now) || changed
	}
	for id, at := range s.expiringRouters {
		if !now.Before(at) {
			s.dropRouter(id)
			changed = true
		}
	}
	for id, d := range s.departed {
		if now.Sub(d.at) > departureRetention {
			delete(s.departed, id)
		}
	}
	s.evacuations.expire(now)
	s.publish(changed)
}

// EndGrace implements Sink.
func (s *State) EndGrace(now time.Time) {
	changed := false
	for id := range s.expiring {
		s.opts.Log.Info("backend server gone", zap.String("server", id), zap.String("cause", "entry removed, no outage"))
		changed = s.dropServer(id, now) || changed
	}
	for id := range s.expiringRouters {
		s.dropRouter(id)
		changed = true
	}
	s.publish(changed)
}

// dropRouter removes a router whose entry has lapsed.
func (s *State) dropRouter(id string) {
	delete(s.expiringRouters, id)
	delete(s.routers, id)
}

// publish stores the set of servers and calls the callbacks if servers or routers changed, or evacuations. Servers that
// register in an evacuated domain are thereby known to be evacuated before they are used.
func (s *State) publish(changed bool) {
	var set *backends.Set
	if changed {
		set = backends.NewSet(slices.Collect(maps.Values(s.servers)))
		s.opts.Servers.Store(set)
	}
	if domains, news := s.evacuations.takeChanged(); news {
		s.opts.OnEvacuations(domains)
	}
	if !changed {
		return
	}
	s.opts.OnServers(set)
	s.opts.OnRouters(maps.Clone(s.routers))
}

// applyEntry applies a key's new value. It reports whether servers or routers changed.
func (s *State) applyEntry(e kv.Entry, now time.Time) bool {
	schema := s.opts.Schema
	switch {
	case schema.IsConfig(e.Key):
		s.applyConfig(e)
		return false
	case schema.IsServer(e.Key):
		return s.applyServer(e, now)
	case schema.IsRouter(e.Key):
		return s.applyRouter(e, now)
	case schema.IsEvacuation(e.Key):
		s.applyEvacuation(e, now)
		return false
	default:
		return false
	}
}

func (s *State) applyConfig(e kv.Entry) {
	config, err := s.opts.Schema.DecodeConfig(e.Value, int64(e.Revision))
	if err != nil {
		s.opts.Log.Error("cannot decode configuration, previous one stays in force", logfield.Error(err))
		return
	}
	table := routing.NewTable(config)
	if !s.opts.Routing.Store(table) {
		return
	}
	s.opts.Log.Info("configuration in force", zap.Int64("version", table.Version), zap.Int64("revision", table.Revision),
		zap.Int("routes", len(config.Routes)), zap.Int("teams", len(config.Teams)))
	s.opts.OnConfig(table)
}

// applyServer applies a server's entry. One that cannot be decoded names no server to use, so the server is dropped until
// it writes its entry again.
func (s *State) applyServer(e kv.Entry, now time.Time) bool {
	s.revisions[e.Key] = e.Revision
	server, err := s.opts.Schema.DecodeServer(e.Key, e.Value)
	if err == nil && server.StartedAt == 0 && s.startsKnown {
		err = errors.Wrap(errNoStart, e.Key)
	}
	if err != nil {
		s.recordInvalid("cannot decode entry of a backend server", e, err, now)
		return s.dropServer(s.opts.Schema.ServerID(e.Key), now)
	}
	previous := s.servers[server.ID]
	server.Draining = server.Draining || s.knownToDrain(server)
	delete(s.expiring, server.ID)
	delete(s.departed, server.ID)
	s.servers[server.ID] = server
	if previous == nil || !previous.SameIncarnation(server) || previous.Draining != server.Draining {
		s.opts.Log.Info("backend server", zap.String("server", server.ID), zap.String("service", server.Service),
			zap.String("address", server.Address), zap.Bool("draining", server.Draining),
			zap.Int64("revision", int64(e.Revision)))
	}
	return previous == nil || *previous != *server
}

// knownToDrain reports whether an incarnation of a server is known to drain. It does not become ready again: an entry that says so
// was written before, and reached the store late or is that of an older copy. Without a start time incarnations cannot be told
// apart, so that only entries of an older copy count as such.
func (s *State) knownToDrain(server *backends.Server) bool {
	known := s.bound[server.ID]
	if server.StartedAt != 0 {
		known = s.servers[server.ID]
		if known == nil {
			known = s.departed[server.ID].server
		}
	}
	return known != nil && known.Draining && known.SameIncarnation(server)
}

// recordInvalid counts an entry that cannot be decoded, and logs it unless that was done lately.
func (s *State) recordInvalid(message string, e kv.Entry, err error, now time.Time) {
	s.opts.OnInvalid()
	if now.Sub(s.invalidLogged[e.Key]) < invalidLogInterval {
		return
	}
	if len(s.invalidLogged) >= maxInvalidLogged {
		clear(s.invalidLogged)
	}
	s.invalidLogged[e.Key] = now
	s.opts.Log.Warn(message, logfield.Error(err), zap.Int64("revision", int64(e.Revision)))
}

// applyRouter applies a router's entry. One that cannot be decoded leaves the router with its earlier entry: the router
// writes an entry once, and its lease tells when it has ended.
func (s *State) applyRouter(e kv.Entry, now time.Time) bool {
	s.revisions[e.Key] = e.Revision
	router, err := s.opts.Schema.DecodeRouter(e.Key, e.Value)
	if err != nil {
		s.recordInvalid("cannot decode entry of a router", e, err, now)
		s.opts.OnInvalidRouter(s.opts.Schema.RouterID(e.Key))
		return false
	}
	delete(s.expiringRouters, router.ID)
	s.routers[router.ID] = router
	return true
}

// applyEvacuation applies a key that names an evacuated failure domain. Its value has no meaning.
func (s *State) applyEvacuation(e kv.Entry, now time.Time) {
	s.revisions[e.Key] = e.Revision
	domain, err := s.opts.Schema.EvacuatedDomain(e.Key)
	if err != nil {
		s.recordInvalid("cannot decode key of an evacuation", e, err, now)
		return
	}
	s.evacuations.add(domain)
}

// applyDeletion applies the deletion of a key. It reports whether servers or routers changed.
func (s *State) applyDeletion(key string, now, graceEnd time.Time) bool {
	schema := s.opts.Schema
	delete(s.revisions, key)
	switch {
	case schema.IsServer(key):
		id := schema.ServerID(key)
		if s.servers[id] == nil {
			return false
		}
		if now.Before(graceEnd) {
			s.expiring[id] = graceEnd
			s.opts.Log.Info("entry of a backend server lapsed", zap.String("server", id))
			return false
		}
		s.opts.Log.Info("backend server gone", zap.String("server", id), zap.String("cause", "entry removed"))
		return s.dropServer(id, now)
	case schema.IsRouter(key):
		id := schema.RouterID(key)
		if now.Before(graceEnd) {
			s.expiringRouters[id] = graceEnd
			return false
		}
		delete(s.routers, id)
		return true
	case schema.IsEvacuation(key):
		if domain, err := schema.EvacuatedDomain(key); err == nil {
			s.evacuations.remove(domain)
		}
		return false
	default:
		return false
	}
}

// dropServer removes a server and remembers it as departed. It reports whether it was known.
func (s *State) dropServer(id string, now time.Time) bool {
	server, known := s.servers[id]
	if known {
		s.departed[id] = departure{server: server, at: now}
	}
	delete(s.servers, id)
	delete(s.expiring, id)
	return known
}
