package daemon

import (
	"context"
	"fmt"
	"sort"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/publish"
	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// adminBackend implements admin.API for a daemon.
type adminBackend struct {
	d *Daemon
}

// Config implements admin.API. If the store cannot be read, or was restored from a copy without the newest
// configuration, it returns the configuration in force at this router and true.
func (b adminBackend) Config(ctx context.Context) (ident.Generation, *object.Set, bool, error) {
	generation, set, err := b.d.publisher.Head(ctx)
	if err == nil {
		return generation, set, false, nil
	}
	current := b.d.snapshot.Load()
	if current == nil {
		return 0, nil, false, err
	}
	return current.Generation(), current.Set(), true, nil
}

// Apply implements admin.API.
func (b adminBackend) Apply(ctx context.Context, base ident.Generation, set *object.Set) (ident.Generation, error) {
	return publish.Apply(ctx, b.d.publisher, b.d.syncer, base, set)
}

// Status implements admin.API.
func (b adminBackend) Status(context.Context) (admin.Status, error) { return b.d.adminStatus(), nil }

// adminStatus returns the state of the fleet as this router sees it.
func (d *Daemon) adminStatus() admin.Status {
	s := admin.Status{
		Self:    ident.RouterID(d.settings.ID),
		Serving: d.serving(),
		Owners:  make(map[string]ident.RouterID),
	}
	if current := d.snapshot.Load(); current != nil {
		s.Generation = current.Generation()
		s.Drained = drainingObjects(current.Set())
	}
	for _, m := range d.view().Members() {
		s.Members = append(s.Members, adminMember(m))
	}
	d.addShardStatus(&s)
	s.Problems = d.problems(&s)
	return s
}

func adminMember(m membership.Member) admin.Member {
	return admin.Member{
		ID:          m.ID,
		Incarnation: m.Incarnation,
		State:       m.State.String(),
		Draining:    m.Draining,
		Generation:  m.Generation,
		Address:     m.CallerAddr,
		Domain:      m.Domain,
	}
}

// addShardStatus adds the dispatchers of all shards, and the statistics of the shards that this router dispatches for.
func (d *Daemon) addShardStatus(s *admin.Status) {
	routes := d.routes.Load()
	if routes == nil {
		return
	}
	for id, pool := range routes.Pools {
		for index, owner := range pool.Owners {
			shard := ident.ShardID{Pool: id, Index: uint16(index)}
			s.Owners[shard.String()] = owner.Router
		}
	}
	for id, stats := range d.router.Dispatcher().Stats() {
		s.Shards = append(s.Shards, admin.ShardStatus{
			Shard:   id.String(),
			Queued:  stats.Queued,
			Running: stats.Running,
			Limit:   stats.Limit,
			Gap:     stats.Gap,
			Bound:   stats.Bound,
		})
	}
	sort.Slice(s.Shards, func(i, j int) bool { return s.Shards[i].Shard < s.Shards[j].Shard })
}

// drainingObjects returns the backend servers and VMs that an operator has set to draining, sorted and as "kind/name".
func drainingObjects(set *object.Set) []string {
	var list []string
	for name, server := range set.BackendServers {
		if server.State == object.StateDraining {
			list = append(list, string(object.KindBackendServer)+"/"+name)
		}
	}
	for name, vm := range set.VMs {
		if vm.State == object.StateDraining {
			list = append(list, string(object.KindVM)+"/"+name)
		}
	}
	sort.Strings(list)
	return list
}

// problems returns descriptions of the faults that this router sees, for operators.
func (d *Daemon) problems(s *admin.Status) []string {
	var list []string
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	if !s.Serving {
		add("%s does not serve: its configuration was not confirmed recently", s.Self)
	}
	if !d.majority() {
		add("%s was not answered by a majority of the listed VMs recently; publishing is refused", s.Self)
	}
	if stored, lost := d.syncer.LostGeneration(); lost {
		add("the store was restored and has generation %d, not %d: publish the configuration again", stored, s.Generation)
	}
	for _, m := range s.Members {
		switch {
		case m.State == membership.Suspect.String() || m.State == membership.Dead.String():
			add("router %s is %s", m.ID, m.State)
		case m.State == membership.Alive.String() && m.Generation < s.Generation:
			add("router %s has generation %d, below %d", m.ID, m.Generation, s.Generation)
		}
	}
	for shard, owner := range s.Owners {
		if owner == "" {
			add("shard %s has no dispatcher", shard)
		}
	}
	for _, status := range s.Shards {
		if status.Limit == 0 {
			add("shard %s has no backend server that accepts requests", status.Shard)
		}
		if status.Gap > status.Bound {
			add("shard %s: service gap %.0f is above its bound %.0f", status.Shard, status.Gap, status.Bound)
		}
	}
	sort.Strings(list)
	return list
}
