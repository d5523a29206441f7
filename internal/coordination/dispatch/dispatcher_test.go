package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// outbox is a Sender that stores the messages to each router.
type outbox map[ident.RouterID][]message.Message

func (o outbox) Send(to ident.RouterID, m message.Message) { o[to] = append(o[to], m) }

var testShard = ident.ShardID{Pool: ident.ServicePool("credits")}

// testRoutes returns routes of a router that owns one shard, with the given live routers.
func testRoutes(live map[ident.RouterID]ident.Incarnation) *Routes {
	server := &object.BackendServer{Name: "credits1", Kind: object.BackendService, Service: "credits", Slots: 4}
	return &Routes{
		Generation:  1,
		OwnedShards: []Shard{{ID: testShard, Siblings: 1, Servers: []*object.BackendServer{server}}},
		Live:        live,
	}
}

// Guards against ignoring a router that was considered dead during a pause or a partition and returns as the same
// process. Its requests must be granted again, and it must be asked for its waiting and running requests. They were
// ignored for ten minutes.
func TestReturnedRouterIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := outbox{}
		d := NewDispatcher(DispatcherOptions{Self: "r1", Incarnation: 7, Sender: sent, Events: timeline.New(64, "r1")})
		both := map[ident.RouterID]ident.Incarnation{"r1": 7, "r2": 5}
		d.Update(testRoutes(both))
		time.Sleep(takeoverDelay)
		d.Update(testRoutes(map[ident.RouterID]ident.Incarnation{"r1": 7}))
		delete(sent, "r2")
		d.Update(testRoutes(both))
		if list := sent["r2"]; len(list) != 1 || *list[0].(*message.Takeover) != (message.Takeover{Shard: testShard}) {
			t.Fatalf("sent to the returned router: %v", list)
		}
		delete(sent, "r2")
		ref := ident.AttemptRef{Request: ident.RequestRef{Router: "r2", Incarnation: 5, Seq: 1}, Attempt: 1}
		d.Handle("r2", &message.Enqueue{Shard: testShard, Ref: ref, Team: "alarms", Hint: 1, DeadlineMS: 30_000})
		if list := sent["r2"]; len(list) != 1 || list[0].(*message.Grant).Ref != ref {
			t.Fatalf("sent in response to the request of the returned router: %v", list)
		}
		earlier := ref
		earlier.Request.Incarnation = 4
		delete(sent, "r2")
		d.Handle("r2", &message.Enqueue{Shard: testShard, Ref: earlier, Team: "alarms", Hint: 1, DeadlineMS: 30_000})
		if list := sent["r2"]; len(list) != 0 {
			t.Fatalf("sent in response to the request of an earlier process: %v", list)
		}
	})
}
