package etcdkv

import (
	"errors"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/publish"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/test/standin/kvstore"
)

func oneVM(name string) *object.Set {
	set := object.NewSet()
	set.VMs[name] = &object.VM{Name: name, State: object.StateActive}
	return set
}

// Guards against a publish over the gateway protocol whose reported result differs from the state of the store.
func TestPublishOverGateway(t *testing.T) {
	cases := map[string]kvstore.Faults{
		"healthy":                {},
		"response lost":          {Lost: kvstore.LostApplied, LostCount: 2},
		"write late":             {Lost: kvstore.LostLate, LostCount: 2, LateMS: 50},
		"write dropped":          {Lost: kvstore.LostDropped, LostCount: 2},
		"store timed out":        {Lost: kvstore.LostApplied, LostCount: 2, Ambiguous: true},
		"slow and response lost": {Lost: kvstore.LostApplied, LostCount: 2, DelayMS: 20},
		"stale reads":            {StaleBy: 1},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			client, store := startClient(t, kvstore.Options{}, longTimeout)
			p := publish.NewPublisher(client, func() bool { return true })
			first, err := p.Publish(t.Context(), 0, oneVM("a"))
			if err != nil || first != 1 {
				t.Fatalf("first publish: %d %v", first, err)
			}
			store.SetFaults(faults)
			gen, err := p.Publish(t.Context(), first, oneVM("b"))
			store.SetFaults(kvstore.Faults{})
			if name == "stale reads" {
				// Nothing can be published while each read misses the latest change.
				if err == nil || errors.Is(err, kv.ErrUncertain) {
					t.Fatalf("published despite stale reads: %v", err)
				}
				return
			}
			if err != nil || gen != 2 {
				t.Fatalf("second publish: %d %v", gen, err)
			}
			time.Sleep(100 * time.Millisecond) // Late writes take effect within this time.
			head, set, err := p.Head(t.Context())
			if err != nil || head != 2 || set.VMs["b"] == nil {
				t.Fatalf("head %d %v: %v", head, set, err)
			}
		})
	}
}
