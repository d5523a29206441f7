package admission

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// Guards against requests that are refused or granted late because the controller does not notice that they wait: it
// checks them often only while there are any.
func TestWaitingRequestsAreCheckedOften(t *testing.T) {
	g := NewWithT(t)
	c := NewController(New(Options{ShareWindow: 4 * time.Second, Seed: 1}), nil)
	c.SetServers(backends.NewSet([]*backends.Server{{ID: "i", Service: "app", Address: "127.0.0.1:1", Slots: 1}}))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.Run(ctx, time.Millisecond, time.Hour)
	request := func(id string) Request {
		now := time.Now()
		return Request{
			ID: id, Team: "farm", Kind: "callout", Service: &routing.Service{Name: "app"}, Arrival: now,
			Objective: 200 * time.Millisecond, Deadline: now.Add(time.Second),
		}
	}
	const attempts = 20
	for round := range 2 {
		decided := make(chan Decision, attempts)
		for range attempts {
			go func() {
				_, d, err := c.Admit(ctx, request("a"))
				if err == nil {
					decided <- d
				}
			}()
		}
		refused := 0
		for range attempts {
			var d Decision
			g.Eventually(decided, "1s").Should(Receive(&d), "round %d", round)
			if d.Server == nil {
				refused++
			}
		}
		g.Expect(refused).To(BeNumerically(">", 0))
	}
}
