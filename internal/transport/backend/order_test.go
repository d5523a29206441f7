package backend

import (
	"errors"
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/coordination/order"
	"gooseberrytide.example/gooseberrytide/test/standin/engine"
)

// An old order must come back as ErrStale from a checking engine and take effect on an ignoring one, or the owner
// draws the wrong conclusion from its answer.
func TestOrderFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		_, server := startEngine(t, engine.Options{CheckFencing: checks})
		client := newTestClient(t, Options{})
		load := func(version string, fence int64) error {
			target := order.Target{Model: "m", Version: version}
			return client.Order(testContext(t), server, order.Command{Kind: order.LoadModel, Target: target, Fence: fence})
		}
		loaded := func(version string) {
			waitFor(t, version, func() bool {
				s, err := client.State(testContext(t), server)
				return err == nil && s.Loading == nil && s.Target == order.Target{Model: "m", Version: version}
			})
		}
		if err := load("v3", 9); err != nil {
			t.Fatal(err)
		}
		loaded("v3")
		err := load("v2", 8)
		if errors.Is(err, order.ErrStale) != checks {
			t.Fatalf("checks %v: %v", checks, err)
		}
		if checks {
			loaded("v3")
		} else {
			loaded("v2")
		}
	}
}
