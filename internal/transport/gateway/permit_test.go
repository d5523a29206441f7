package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverlimit"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// delayedOwners answers no reservation. The first one returns at once, each later one not before a given time.
type delayedOwners struct {
	calls atomic.Int32
	from  time.Time
}

// Reserve implements admission.Owners.
func (o *delayedOwners) Reserve(ctx context.Context, _ reservation.Request, _ *serverlimit.Entry) (reservation.Answer, reservation.Outcome) {
	if o.calls.Add(1) > 1 {
		select {
		case <-time.After(time.Until(o.from)):
		case <-ctx.Done():
		}
	}
	return reservation.Answer{}, reservation.Unanswered
}

// Guards against more runs than the route allows because a further substitute is made while one still waits to be
// admitted.
func TestWaitingSubstitutesKeepToTheNumberOfAttempts(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	h := newSilentHarness(t, 4, platformengine.Silent)
	for _, e := range h.engines {
		e.Silence = time.Minute
	}
	owners := &delayedOwners{from: time.Now().Add(3400 * time.Millisecond)}
	controller := admission.NewController(admission.New(admission.Options{ShareWindow: 4 * time.Second, Seed: 1}), owners)
	controller.SetServers(backends.NewSet(h.servers))
	h.gateway.opts.Admission = controller
	r := h.stream("/digest/x", "a1")
	r.Header.Set("Deadline-Ms", "4500")
	h.do(r)
	g.Expect(h.totalRuns("a1")).To(BeNumerically("<=", h.routing.Load().Route(testHost, "/digest/x").MaxAttempts))
}

// Guards against refused requests: a server that takes more than half of the time that a request has must not be
// ejected if its requests may not be sent again.
func TestSlowServerStaysInUse(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	h := newSilentHarness(t, 1, platformengine.Silent)
	config := testConfig()
	config.Version++
	for i := range config.Routes {
		config.Routes[i].MaxAttempts = 1
	}
	h.routing.Store(routing.NewTable(config))
	var slow sync.WaitGroup
	defer slow.Wait()
	for _, id := range []string{"a1", "a2", "a3"} {
		r := h.request(http.MethodGet, "/lookup/x", id, "")
		slow.Go(func() { h.do(r) })
	}
	time.Sleep(1400 * time.Millisecond) // more than half of the time that each request has
	g.Expect(h.do(h.request(http.MethodGet, "/lookup/x", "a4", "")).status).To(Equal(http.StatusOK))
}
