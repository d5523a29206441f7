package dispatch

import (
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// Guards against unfair sharing between teams whose requests go to different shards: a team that was alone at one shard
// got the whole shard, while four other teams shared the second one.
func TestBackloggedTeamsSpreadOverShards(t *testing.T) {
	pool := &Pool{Owners: []Owner{{Router: "r1"}, {Router: "r2"}, {Router: "r3"}}}
	i := NewIngress(IngressOptions{Self: "r1", Incarnation: 1, Events: timeline.New(8, "r1")})
	used := map[uint16]int{}
	for range 30 {
		w := Work{Ref: ident.AttemptRef{Request: i.NewRequest(), Attempt: 1}, Team: "a", Pool: "model/m"}
		used[i.chooseShard(w, pool, i.backlog.add(w.backlogKey())).Index]++
	}
	for index := range uint16(3) {
		if used[index] < 9 {
			t.Fatalf("requests by shard %v", used)
		}
	}
	for range 30 {
		i.backlog.remove(backlogKey{"a", "model/m"})
	}
	w := Work{Ref: ident.AttemptRef{Request: i.NewRequest(), Attempt: 1}, Team: "a", Pool: "model/m"}
	if id := i.chooseShard(w, pool, i.backlog.add(w.backlogKey())); id.Index != 0 || len(i.backlog.waiting) != 1 {
		t.Fatalf("a team without a backlog uses shard %d; %d teams counted", id.Index, len(i.backlog.waiting))
	}
}
