package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// Guards against trials of a sound and of a poisonous request that several routers send at the same moment to the engine that
// all of them prefer for the prompt: each crash then holds both, and the parts that they share are never proven.
func TestTrialsOfSeveralRoutersDoNotMeetOnOneEngine(t *testing.T) {
	const engines, trials = 8, 200
	now := time.Unix(1_000_000, 0)
	var servers []*backends.Server
	for i := range engines {
		servers = append(servers, &backends.Server{ID: fmt.Sprint("i-", i), Service: "pool", Slots: 8})
	}
	for _, observed := range []bool{false, true} {
		g := NewWithT(t)
		service := &routing.Service{Name: "pool", Engine: &routing.Engine{Slots: 8, CacheTokens: 500_000}}
		place := func(id string) string {
			c := New(Options{ShareWindow: 4 * time.Second, Seed: 1, ObservedLimits: observed})
			c.SetServers(now, backends.NewSet(servers))
			var server *backends.Server
			c.Submit(now, Request{
				ID: id, Team: "t", Service: service, Isolated: true, PromptTokens: 1600, OutputTokens: 10, Arrival: now,
				Parts:     []relay.PromptPart{{ID: 1, Tokens: 800}, {ID: 2, Tokens: 300}, {ID: 3, Tokens: 300}},
				Objective: 500 * time.Millisecond, Deadline: now.Add(3 * time.Second),
			}, func(d Decision) { server = d.Server })
			g.Expect(server).NotTo(BeNil())
			return server.ID
		}
		met := 0
		for i := range trials {
			if place(fmt.Sprint("sound-", i)) == place(fmt.Sprint("bad-", i)) {
				met++
			}
		}
		g.Expect(met).To(BeNumerically("<=", 2*trials/engines), "observed speeds %v", observed)
	}
}
