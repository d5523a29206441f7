package scheduler

import (
	"fmt"
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Guards against accounts of idle teams: with 11,000 teams in each of 375 shards they took 1.8 GB.
func TestTeamsWithoutRequestsHaveNoAccount(t *testing.T) {
	r := newRig(1, 1)
	table := make(map[ident.TeamID]TeamLimits)
	for i := range 11_000 {
		table[ident.TeamID(fmt.Sprintf("team%d", i))] = TeamLimits{Weight: 2}
	}
	r.s.SetTeams(table)
	r.enqueue("team7", 10)
	if known := r.s.Stats().KnownTeams; known != 1 {
		t.Fatalf("%d accounts after a request of one team", known)
	}
}

// Guards against limits that do not reach teams whose first request comes after the table, or before a newer one.
func TestTableOfTeamsSetsLimits(t *testing.T) {
	r := newRig(1, 1)
	r.s.SetTeams(map[ident.TeamID]TeamLimits{"a": {MaxQueued: 2}})
	r.enqueueMany("a", 4, 10)
	if len(r.out.Rejects) != 1 {
		t.Fatalf("%d rejects with a queue of 2 beside one running", len(r.out.Rejects))
	}
	r.s.SetTeams(map[ident.TeamID]TeamLimits{"a": {MaxQueued: 4}})
	r.enqueueMany("a", 3, 10)
	if len(r.out.Rejects) != 2 {
		t.Fatalf("%d rejects with a queue of 4", len(r.out.Rejects))
	}
	r.s.SetTeams(nil)
	if got := r.s.teams["a"].maxQueued; got != 4 {
		t.Fatalf("a team outside of the table has a queue of %d, want 4", got)
	}
}
