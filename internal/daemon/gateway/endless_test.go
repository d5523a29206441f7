package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
	"gooseberrytide.example/gooseberrytide/internal/transport/etcdkv"
	"gooseberrytide.example/gooseberrytide/internal/transport/relayhttp"
	"gooseberrytide.example/gooseberrytide/internal/transport/vmlist"
	"gooseberrytide.example/gooseberrytide/platform"
	"gooseberrytide.example/gooseberrytide/test/standin/endless"
)

// maxHeapGrowth is the heap that a call of a server that sends without end may take, in bytes.
const maxHeapGrowth = 2 << 20

// Guards against a router that runs out of memory because the store, another router or the list of VMs sends response
// headers without end.
func TestEndlessHeadersOfOtherServers(t *testing.T) {
	clients := map[string]func(ctx context.Context, address string) error{
		"platform's store": func(ctx context.Context, address string) error {
			_, _, err := platform.NewStore(address, storeTransport(), nil).List(ctx, "servers/")
			return err
		},
		"another router": func(ctx context.Context, address string) error {
			_, err := relayhttp.NewClient().Changes(ctx, address, kv.Position{}, time.Second)
			return err
		},
		"etcd": func(ctx context.Context, address string) error {
			_, err := etcdkv.New(etcdkv.Options{URL: "http://" + address, Timeout: time.Second}).Get(ctx, "k")
			return err
		},
		"list of VMs": func(ctx context.Context, address string) error {
			_, err := vmlist.New(vmlist.Options{URL: "http://" + address, Timeout: time.Second}).List(ctx)
			return err
		},
		"operator's tool": func(ctx context.Context, address string) error {
			_, err := adminhttp.NewClient(address, "token").Config(ctx)
			return err
		},
	}
	for name, call := range clients {
		for kind, bytes := range endless.Heads() {
			t.Run(name+", "+kind, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				address := endless.Listen(t, bytes)
				var err error
				growth := endless.HeapGrowth(func() { err = call(ctx, address) })
				g.Expect(err).To(HaveOccurred())
				g.Expect(growth).To(BeNumerically("<", maxHeapGrowth))
				g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the call failed as soon as a limit was exceeded")
			})
		}
	}
}
