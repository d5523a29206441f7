package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

const (
	callersPerRouter  = 24
	requestsPerCaller = 20
)

// runRequest admits one request, runs it for a random time and settles it. A third of the requests are cancelled early.
func (n *node) runRequest(random *rand.Rand) {
	ctx := context.Background()
	if random.IntN(3) == 0 {
		limited, cancel := context.WithTimeout(ctx, time.Duration(random.IntN(50))*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	a, err := n.Ingress().Admit(ctx, Work{
		Ref:      ident.AttemptRef{Request: n.Ingress().NewRequest(), Attempt: 1},
		Team:     ident.TeamID([]string{"alarms", "summaries"}[random.IntN(2)]),
		Pool:     testShard.Pool,
		Hint:     10,
		Deadline: time.Now().Add(time.Duration(1+random.IntN(400)) * time.Millisecond),
	})
	if err != nil {
		return
	}
	time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	a.Progress(3)
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() { a.Settle(message.SettleOK, 5) })
	}
	group.Wait()
}

// Guards against data races, lost requests and slots that stay reserved when callers, updates, link events and messages
// are concurrent.
func TestConcurrentUse(t *testing.T) {
	runFleetTest(t, []int{3, 2}, func(t *testing.T, f *fleet) {
		r1, r2, r3 := f.startRouters()
		var callers, background sync.WaitGroup
		ended := make(chan struct{})
		for n, router := range []*node{r1, r2, r3} {
			for c := range callersPerRouter {
				callers.Go(func() {
					random := rand.New(rand.NewPCG(uint64(n), uint64(c)))
					for range requestsPerCaller {
						router.runRequest(random)
					}
				})
			}
			background.Go(func() {
				random := rand.New(rand.NewPCG(uint64(n), 1000))
				for {
					select {
					case <-ended:
						return
					case <-time.After(time.Duration(random.IntN(30)) * time.Millisecond):
					}
					owner := r1r2r3[random.IntN(3)]
					router.Update(f.routes(router.id, owner, r1r2r3))
					router.Ingress().LinkUp(owner)
					router.Ingress().Active()
					router.Dispatcher().Stats()
				}
			})
		}
		callers.Wait()
		close(ended)
		background.Wait()
		f.setView("r1", r1r2r3, r1r2r3...)
		time.Sleep(10 * time.Second)
		r1.expectCounts("all requests ended", 0, 0)
		for _, router := range []*node{r1, r2, r3} {
			if n := router.Ingress().Active(); n != 0 {
				t.Fatalf("%s has %d active requests", router.id, n)
			}
		}
	})
}
