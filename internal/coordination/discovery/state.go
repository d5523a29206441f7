package discovery

import (
	"maps"
	"slices"
	"time"

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
}

// Router is the store entry of a router.
type Router struct {
	ID string
	// PeerAddress is the address that receives datagrams of other routers.
	PeerAddress string
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
	// OnConfig is called with a configuration that came into force. Optional.
	OnConfig func(*routing.Table)
}

// State holds the decoded content of the store: backend servers, routers and configuration. It implements Sink.
type State struct {
	opts    StateOptions
	servers map[string]*backends.Server
	// expiring holds the servers whose entries disappeared after an outage, with the time at which they are dropped.
	expiring map[string]time.Time
	routers  map[string]Router
	// revisions holds the revision of each entry of a server or router by key. Older changes of a key are ignored, since
	// pages of a listing may be older than changes that follow.
	revisions map[string]kv.Revision
}

var _ Sink = (*State)(nil)

// NewState returns an empty state.
func NewState(opts StateOptions) *State {
	if opts.OnRouters == nil {
		opts.OnRouters = func(map[string]Router) {}
	}
	if opts.OnServers == nil {
		opts.OnServers = func(*backends.Set) {}
	}
	if opts.OnConfig == nil {
		opts.OnConfig = func(*routing.Table) {}
	}
	return &State{
		opts:      opts,
		servers:   make(map[string]*backends.Server),
		expiring:  make(map[string]time.Time),
		routers:   make(map[string]Router),
		revisions: make(map[string]kv.Revision),
	}
}

// Replace implements Sink.
func (s *State) Replace(entries []kv.Entry, now, graceEnd time.Time) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
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

// Apply implements Sink.
func (s *State) Apply(changes []kv.Change, now, graceEnd time.Time) {
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
		s.opts.Log.Info("backend server gone", zap.String("server", id), zap.String("cause", "entry did not come back"))
		delete(s.expiring, id)
		delete(s.servers, id)
		changed = true
	}
	s.publish(changed)
}

// publish stores the set of servers and calls the callbacks if servers or routers changed.
func (s *State) publish(changed bool) {
	if !changed {
		return
	}
	set := backends.NewSet(slices.Collect(maps.Values(s.servers)))
	s.opts.Servers.Store(set)
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
		return s.applyRouter(e)
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

func (s *State) applyServer(e kv.Entry, now time.Time) bool {
	s.revisions[e.Key] = e.Revision
	server, err := s.opts.Schema.DecodeServer(e.Key, e.Value)
	if err != nil {
		s.opts.Log.Warn("cannot decode entry of a backend server", logfield.Error(err),
			zap.Int64("revision", int64(e.Revision)))
		return s.dropServer(s.opts.Schema.ServerID(e.Key))
	}
	previous := s.servers[server.ID]
	delete(s.expiring, server.ID)
	s.servers[server.ID] = server
	if previous == nil || !previous.SameIncarnation(server) || previous.Draining != server.Draining {
		s.opts.Log.Info("backend server", zap.String("server", server.ID), zap.String("service", server.Service),
			zap.String("address", server.Address), zap.Bool("draining", server.Draining),
			zap.Int64("revision", int64(e.Revision)))
	}
	return previous == nil || *previous != *server
}

func (s *State) applyRouter(e kv.Entry) bool {
	s.revisions[e.Key] = e.Revision
	router, err := s.opts.Schema.DecodeRouter(e.Key, e.Value)
	if err != nil {
		s.opts.Log.Warn("cannot decode entry of a router", logfield.Error(err))
		return false
	}
	s.routers[router.ID] = router
	return true
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
		return s.dropServer(id)
	case schema.IsRouter(key):
		delete(s.routers, schema.RouterID(key))
		return true
	default:
		return false
	}
}

func (s *State) dropServer(id string) bool {
	_, known := s.servers[id]
	delete(s.servers, id)
	delete(s.expiring, id)
	return known
}
