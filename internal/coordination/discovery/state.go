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

// Schema decodes the store's values.
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

// Router is the entry of another router.
type Router struct {
	ID string
	// PeerAddress takes datagrams of other routers.
	PeerAddress string
	// Incarnation tells apart the starts of a router.
	Incarnation uint64
}

// StateOptions configure a State.
type StateOptions struct {
	Schema  Schema
	Routing *routing.Holder
	Servers *backends.Holder
	Log     *zap.Logger
	// OnRouters takes the routers that registered. Default: none.
	OnRouters func(map[string]Router)
	// OnServers takes a changed set of servers. Default: none.
	OnServers func(*backends.Set)
	// OnConfig takes a configuration that was put in force. Default: none.
	OnConfig func(*routing.Table)
}

// State is what the store's keys say. It implements Sink.
type State struct {
	opts    StateOptions
	servers map[string]*backends.Server
	// lapsed holds servers whose entries vanished, with the time at which they are taken as gone.
	lapsed  map[string]time.Time
	routers map[string]Router
	// revisions are the revisions of the servers' and routers' entries, since pages of a listing may be older than
	// changes that follow.
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
		lapsed:    make(map[string]time.Time),
		routers:   make(map[string]Router),
		revisions: make(map[string]kv.Revision),
	}
}

// Replace implements Sink.
func (s *State) Replace(entries []kv.Entry, now, lapse time.Time) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	changed := false
	for key := range s.revisions {
		if !listed[key] {
			changed = s.remove(key, now, lapse) || changed
		}
	}
	for _, e := range entries {
		changed = s.write(e, now) || changed
	}
	s.publish(changed)
}

// Apply implements Sink.
func (s *State) Apply(list []kv.Change, now, lapse time.Time) {
	changed := false
	for _, c := range list {
		if c.Revision <= s.revisions[c.Key] {
			continue
		}
		if c.Deleted {
			changed = s.remove(c.Key, now, lapse) || changed
		} else {
			changed = s.write(c.Entry, now) || changed
		}
	}
	s.publish(changed)
}

// Expire implements Sink.
func (s *State) Expire(now time.Time) {
	changed := false
	for id, at := range s.lapsed {
		if now.Before(at) {
			continue
		}
		s.opts.Log.Info("backend server gone", zap.String("server", id), zap.String("cause", "entry did not come back"))
		delete(s.lapsed, id)
		delete(s.servers, id)
		changed = true
	}
	s.publish(changed)
}

// publish hands out the sets when they changed.
func (s *State) publish(changed bool) {
	if !changed {
		return
	}
	set := backends.NewSet(slices.Collect(maps.Values(s.servers)))
	s.opts.Servers.Store(set)
	s.opts.OnServers(set)
	s.opts.OnRouters(maps.Clone(s.routers))
}

// write takes a key's new value. It reports whether servers or routers changed.
func (s *State) write(e kv.Entry, now time.Time) bool {
	schema := s.opts.Schema
	switch {
	case schema.IsConfig(e.Key):
		s.writeConfig(e)
		return false
	case schema.IsServer(e.Key):
		return s.writeServer(e, now)
	case schema.IsRouter(e.Key):
		return s.writeRouter(e)
	default:
		return false
	}
}

func (s *State) writeConfig(e kv.Entry) {
	config, err := s.opts.Schema.DecodeConfig(e.Value, int64(e.Revision))
	if err != nil {
		s.opts.Log.Error("configuration not read, the former stays in force", logfield.Error(err))
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

func (s *State) writeServer(e kv.Entry, now time.Time) bool {
	s.revisions[e.Key] = e.Revision
	server, err := s.opts.Schema.DecodeServer(e.Key, e.Value)
	if err != nil {
		s.opts.Log.Warn("entry of a backend server not usable", logfield.Error(err), zap.Int64("revision", int64(e.Revision)))
		return s.drop(s.opts.Schema.ServerID(e.Key))
	}
	before := s.servers[server.ID]
	delete(s.lapsed, server.ID)
	s.servers[server.ID] = server
	if before == nil || !before.SameIncarnation(server) || before.Draining != server.Draining {
		s.opts.Log.Info("backend server", zap.String("server", server.ID), zap.String("service", server.Service),
			zap.String("address", server.Address), zap.Bool("draining", server.Draining),
			zap.Int64("revision", int64(e.Revision)))
	}
	return before == nil || *before != *server
}

func (s *State) writeRouter(e kv.Entry) bool {
	s.revisions[e.Key] = e.Revision
	router, err := s.opts.Schema.DecodeRouter(e.Key, e.Value)
	if err != nil {
		s.opts.Log.Warn("entry of a router not usable", logfield.Error(err))
		return false
	}
	s.routers[router.ID] = router
	return true
}

// remove takes the deletion of a key.
func (s *State) remove(key string, now, lapse time.Time) bool {
	schema := s.opts.Schema
	delete(s.revisions, key)
	switch {
	case schema.IsServer(key):
		id := schema.ServerID(key)
		if s.servers[id] == nil {
			return false
		}
		if now.Before(lapse) {
			s.lapsed[id] = lapse
			s.opts.Log.Info("entry of a backend server lapsed", zap.String("server", id))
			return false
		}
		s.opts.Log.Info("backend server gone", zap.String("server", id), zap.String("cause", "entry removed"))
		return s.drop(id)
	case schema.IsRouter(key):
		delete(s.routers, schema.RouterID(key))
		return true
	default:
		return false
	}
}

func (s *State) drop(id string) bool {
	_, known := s.servers[id]
	delete(s.servers, id)
	delete(s.lapsed, id)
	return known
}
