package scheduler

import (
	"fmt"
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Guards against accounts for teams without requests. With 11,000 teams in each of 375 shards they took 1.8 GB.
func TestTeamsWithoutRequestsHaveNoAccount(t *testing.T) {
	r := newHarness(1, 1)
	table := make(map[ident.TeamID]TeamLimits)
	for i := range 11_000 {
		table[ident.TeamID(fmt.Sprintf("team%d", i))] = TeamLimits{Weight: 2}
	}
	r.s.SetTeams(table)
	r.enqueue("team7", 10)
	if known := r.s.Stats().KnownTeams; known != 1 {
		t.Fatalf("%d accounts after a request of one team, want 1", known)
	}
}

// Guards against limits that are not applied to teams whose first request arrives after SetTeams, or that are not
// updated by a later SetTeams.
func TestSetTeamsAppliesLimits(t *testing.T) {
	r := newHarness(1, 1)
	r.s.SetTeams(map[ident.TeamID]TeamLimits{"a": {MaxQueued: 2}})
	r.enqueueMany("a", 4, 10)
	if len(r.out.Rejects) != 1 {
		t.Fatalf("%d rejects with one request running and a queue limit of 2, want 1", len(r.out.Rejects))
	}
	r.s.SetTeams(map[ident.TeamID]TeamLimits{"a": {MaxQueued: 4}})
	r.enqueueMany("a", 3, 10)
	if len(r.out.Rejects) != 2 {
		t.Fatalf("%d rejects with a queue limit of 4, want 2", len(r.out.Rejects))
	}
	r.s.SetTeams(nil)
	if got := r.s.teams["a"].maxQueued; got != 4 {
		t.Fatalf("a team that is not in the table has a queue limit of %d, want 4", got)
	}
}
