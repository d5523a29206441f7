package backend

import (
	"errors"
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/coordination/order"
	"gooseberrytide.example/gooseberrytide/test/standin/engine"
)

// An order with an old fencing number must return ErrStale from an engine that checks fencing numbers, and must take
// effect on an engine that ignores them. Otherwise the owner misinterprets the response.
func TestOrderFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		_, server := startEngine(t, engine.Options{CheckFencing: checks})
		client := newTestClient(t, Options{})
		load := func(version string, fence int64) error {
			target := order.Target{Model: "m", Version: version}
			return client.Order(testContext(t), server, order.Command{Kind: order.LoadModel, Target: target, Fence: fence})
		}
		waitLoaded := func(version string) {
			waitFor(t, version, func() bool {
				s, err := client.State(testContext(t), server)
				return err == nil && s.Loading == nil && s.Target == order.Target{Model: "m", Version: version}
			})
		}
		if err := load("v3", 9); err != nil {
			t.Fatal(err)
		}
		waitLoaded("v3")
		err := load("v2", 8)
		if errors.Is(err, order.ErrStale) != checks {
			t.Fatalf("checks %v: %v", checks, err)
		}
		if checks {
			waitLoaded("v3")
		} else {
			waitLoaded("v2")
		}
	}
}
