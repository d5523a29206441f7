package scheduler

import (
	"cmp"
	"slices"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// StatsTeams is the maximum number of teams listed in Stats.
const StatsTeams = 20

// Stats describes a scheduler at the time of its last event. It is encoded under its field names.
type Stats struct {
	Shard  ident.ShardID
	Queued int
	// Running is the number of granted attempts that are neither settled nor released.
	Running int
	// Limit is the sum of the in-flight limits.
	Limit int
	// Served is the reported cost of all teams, in cost units.
	Served ident.Cost
	// KnownTeams is the number of teams with an account, BackloggedTeams the number of those with eligible queued work
	// that are not parked.
	KnownTeams      int
	BackloggedTeams int
	// Teams lists the teams with the longest queues, at most StatsTeams.
	Teams    []TeamStats
	Backends []BackendStats
	// Gap is the largest difference between the counters of two backlogged teams, in weighted cost units.
	Gap float64
	// Bound is the largest difference in charged service that the policy allows between two teams that are backlogged
	// over any interval, in weighted cost units: twice the sum of the largest cost, the charge errors of all requests in
	// flight and the pending deltas that siblings may hold, divided by the lowest weight of a backlogged team.
	// It is computed from the largest cost, error and number of requests in flight seen. Gap stays below half of it.
	Bound float64
}

// TeamStats describes a team.
type TeamStats struct {
	Team    ident.TeamID
	Queued  int
	Running int
	// Served is the reported cost, in cost units.
	Served ident.Cost
	// Counter is the virtual counter, in weighted cost units.
	Counter float64
}

// BackendStats describes a backend server.
type BackendStats struct {
	Backend ident.BackendID
	Limit   int
	Running int
	Ejected bool
}

// totals holds sums, maxima and moving means over all teams.
type totals struct {
	queued  int
	running int
	// maxRunning is the largest number of attempts in flight at once.
	maxRunning int
	served     ident.Cost
	// maxCost and maxError are the largest cost and the largest charge error of an attempt.
	maxCost   ident.Cost
	maxError  ident.Cost
	meanCost  float64
	meanRunMS float64
}

// observeCost updates the largest cost and charge error from an attempt. Adopted attempts are ignored.
func (t *totals) observeCost(r *request, cost ident.Cost) {
	if r.adopted {
		return
	}
	t.maxCost = max(t.maxCost, cost, r.estimate)
	t.maxError = max(t.maxError, cost-r.estimate, r.estimate-cost)
}

// Stats returns statistics of the current state. It takes time proportional to the number of teams, plus sorting.
func (s *Scheduler) Stats() Stats {
	st := Stats{
		Shard:           s.opts.Shard,
		Queued:          s.totals.queued,
		Running:         s.totals.running,
		Served:          s.totals.served,
		KnownTeams:      len(s.teams),
		BackloggedTeams: len(s.ready),
		Teams:           s.longestQueues(),
	}
	for _, b := range s.backends {
		limit := b.limitAt(s.now)
		st.Limit += limit
		st.Backends = append(st.Backends, BackendStats{
			Backend: b.ID, Limit: limit, Running: b.running, Ejected: b.health == healthEjected,
		})
	}
	st.Gap, st.Bound = s.gap(st.Limit)
	return st
}

// Team returns the statistics of one team, or false if the team has no account.
func (s *Scheduler) Team(id ident.TeamID) (TeamStats, bool) {
	t := s.teams[id]
	if t == nil {
		return TeamStats{}, false
	}
	return t.stats(), true
}

func (t *team) stats() TeamStats {
	return TeamStats{Team: t.id, Queued: t.queued(), Running: t.running, Served: t.served, Counter: t.counter}
}

func (s *Scheduler) longestQueues() []TeamStats {
	var list []TeamStats
	for _, t := range s.teams {
		if t.queued() > 0 || t.running > 0 {
			list = append(list, t.stats())
		}
	}
	slices.SortFunc(list, func(a, b TeamStats) int {
		return cmp.Or(cmp.Compare(b.Queued, a.Queued), cmp.Compare(b.Running, a.Running), cmp.Compare(a.Team, b.Team))
	})
	return list[:min(len(list), StatsTeams)]
}

// gap returns the largest difference between the counters of two teams in the ready queue, and the value of Stats.Bound
// for the given sum of in-flight limits.
func (s *Scheduler) gap(limit int) (gap, bound float64) {
	if len(s.ready) == 0 {
		return 0, 0
	}
	high, weight := s.ready[0].counter, s.ready[0].team.weight
	for i := range s.ready {
		high = max(high, s.ready[i].counter)
		weight = min(weight, s.ready[i].team.weight)
	}
	inFlight := float64(max(limit, s.totals.maxRunning))
	bound = float64(s.totals.maxCost) + inFlight*float64(s.totals.maxError)
	bound += 2 * float64(s.siblings-1) * float64(s.quantum())
	bound *= 2
	return high - s.ready[0].counter, bound / weight
}
