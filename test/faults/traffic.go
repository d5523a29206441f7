package faults

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/test/fleet"
	"gooseberrytide.example/gooseberrytide/test/load"
	"gooseberrytide.example/gooseberrytide/test/standin/engine"
	"gooseberrytide.example/gooseberrytide/test/standin/service"
)

const (
	// answerTimeout is how long a caller waits for an outcome. It is longer than the service's time limit of 30 s and a
	// router's pause.
	answerTimeout = 75 * time.Second
	// streamsPerTeam is the number of completions that a team keeps outstanding.
	streamsPerTeam = 4
	// meanCallPause is the mean pause between the calls of a team.
	meanCallPause = 60 * time.Millisecond
	maxTokens     = 120
	// abandonOneIn is the number of requests for which, on average, one more is sent that its caller abandons within
	// maxAbandonTime.
	abandonOneIn   = 8
	maxAbandonTime = 150 * time.Millisecond
	// failurePause is the pause after a request that was not completed.
	failurePause = 100 * time.Millisecond
)

// traffic is the load of a scenario and the outcomes of its requests.
type traffic struct {
	harness *harness
	stop    chan struct{}
	loops   sync.WaitGroup
	// gracefulOnly is the scenario's setting. It makes every refused connection a failure.
	gracefulOnly bool

	mu       sync.Mutex
	requests int
	lost     int
	cut      int
	outcomes map[string]int
	// notRun holds the reason of each request with the outcome not-run, by request ID.
	notRun map[string]string
	// completed holds the idempotency keys of completed calls, as TEAM/KEY.
	completed map[string]bool
	failures  []string
}

func newTraffic(h *harness) *traffic {
	return &traffic{
		harness: h, stop: make(chan struct{}),
		outcomes: map[string]int{}, notRun: map[string]string{}, completed: map[string]bool{},
	}
}

// start starts the request loops of all teams.
func (t *traffic) start(ctx context.Context, seed uint64) {
	for n, team := range teams {
		c := &load.Caller{Team: team.Name, Domain: "a", Entries: t.harness.entries}
		for k := range streamsPerTeam {
			rng := rand.New(rand.NewPCG(seed, uint64(n)<<16|uint64(k)|1<<32))
			t.loops.Go(func() { t.runCompletions(ctx, c, rng) })
		}
		rng := rand.New(rand.NewPCG(seed, uint64(n)|1<<33))
		t.loops.Go(func() { t.runCalls(ctx, c, rng) })
	}
}

// end stops the loops and waits for outstanding requests.
func (t *traffic) end() {
	close(t.stop)
	t.loops.Wait()
}

func (t *traffic) running(ctx context.Context) bool {
	select {
	case <-t.stop:
		return false
	case <-ctx.Done():
		return false
	default:
		return true
	}
}

func (t *traffic) runCompletions(ctx context.Context, c *load.Caller, rng *rand.Rand) {
	for t.running(ctx) {
		if rng.IntN(abandonOneIn) == 0 {
			t.abandon(ctx, rng, func(ctx context.Context) {
				prompt := fmt.Sprintf("%s asks for shed %d and leaves", c.Team, rng.Uint64())
				c.CompleteAt(ctx, t.randomRouter(rng), load.CompletionBody(modelName, prompt, maxTokens))
			})
		}
		a := t.complete(ctx, c, rng)
		if a.Outcome != "completed" {
			periodic.Sleep(ctx, failurePause)
		}
	}
}

// complete sends a completion, with equal probability to an address that the fleet names or to a random router.
func (t *traffic) complete(ctx context.Context, c *load.Caller, rng *rand.Rand) load.Answer {
	router := ""
	if rng.IntN(2) == 0 {
		router = t.randomRouter(rng)
	}
	return t.completeAt(ctx, c, rng, router)
}

// completeAt sends a completion to the given router address, or to an address that the fleet names if it is empty.
func (t *traffic) completeAt(ctx context.Context, c *load.Caller, rng *rand.Rand, router string) load.Answer {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	prompt := fmt.Sprintf("%s reports the state of shed %d", c.Team, rng.Uint64())
	body := load.CompletionBody(modelName, prompt, maxTokens)
	start := time.Now()
	var a load.Answer
	if router == "" {
		a = c.Complete(ctx, modelName, body, nil)
	} else {
		a = c.CompleteAt(ctx, router, body)
	}
	want := engine.Text(0, prompt, 0, engine.CompletionLength(0, prompt, maxTokens, true))
	whole := a.Text == want
	if a.Outcome != "completed" && a.Status == 200 {
		whole = strings.HasPrefix(want, a.Text)
	}
	t.record("completion", a, start, whole || a.Status != 200)
	return a
}

func (t *traffic) randomRouter(rng *rand.Rand) string {
	list := t.harness.entries()
	return list[rng.IntN(len(list))]
}

func (t *traffic) runCalls(ctx context.Context, c *load.Caller, rng *rand.Rand) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; t.running(ctx); n++ {
		periodic.Sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanCallPause)))
		callRand := rand.New(rand.NewPCG(rng.Uint64(), uint64(n)))
		group.Go(func() { t.call(ctx, c, callRand) })
	}
}

// call sends a call. A quarter of the calls are lookups without an idempotency key; the others have a key. A third of
// those is also sent to another router while the first attempt may be running, and all that are not completed are sent
// once more afterwards.
func (t *traffic) call(ctx context.Context, c *load.Caller, rng *rand.Rand) {
	body := fmt.Sprintf(`{"credit":%d}`, rng.Uint64())
	if rng.IntN(4) == 0 {
		t.sendCall(ctx, c, "", "/lookup/stock", "", body)
		return
	}
	key := fmt.Sprintf("key-%d", rng.Uint64())
	router := ""
	if rng.IntN(2) == 0 {
		router = t.randomRouter(rng)
	}
	if rng.IntN(abandonOneIn) == 0 {
		t.abandon(ctx, rng, func(ctx context.Context) {
			c.CallAt(ctx, t.randomRouter(rng), serviceName, "/credits", key, []byte(body))
		})
	}
	var group sync.WaitGroup
	if rng.IntN(3) == 0 {
		pause := time.Duration(rng.IntN(80)) * time.Millisecond
		other := t.randomRouter(rng)
		group.Go(func() {
			periodic.Sleep(ctx, pause)
			t.sendCall(ctx, c, other, "/credits", key, body)
		})
	}
	a := t.sendCall(ctx, c, router, "/credits", key, body)
	group.Wait()
	if a.Outcome != "completed" {
		periodic.Sleep(ctx, failurePause)
		t.sendCall(ctx, c, t.randomRouter(rng), "/credits", key, body)
	}
}

// abandon sends a request that its caller cancels after a random time of up to maxAbandonTime, often before the answer.
func (t *traffic) abandon(ctx context.Context, rng *rand.Rand, sendRequest func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(rng.Int64N(int64(maxAbandonTime))))
	defer cancel()
	sendRequest(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes["abandoned"]++
}

// sendRepeated sends a call with a key to one router and repeats it at two random ones after short pauses.
func (t *traffic) sendRepeated(ctx context.Context, c *load.Caller, rng *rand.Rand, router *fleet.Router) {
	body := fmt.Sprintf(`{"credit":%d}`, rng.Uint64())
	key := fmt.Sprintf("key-%d", rng.Uint64())
	var group sync.WaitGroup
	group.Go(func() { t.sendCall(ctx, c, router.CallerAddress, "/credits", key, body) })
	for range 2 {
		periodic.Sleep(ctx, time.Duration(20+rng.IntN(100))*time.Millisecond)
		other := t.randomRouter(rng)
		group.Go(func() { t.sendCall(ctx, c, other, "/credits", key, body) })
	}
	group.Wait()
}

// sendCall sends a call to the given router address, or to an address that the fleet names if it is empty.
func (t *traffic) sendCall(ctx context.Context, c *load.Caller, router, path, key, body string) load.Answer {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	start := time.Now()
	var a load.Answer
	if router == "" {
		a = c.Call(ctx, serviceName, path, key, []byte(body))
	} else {
		a = c.CallAt(ctx, router, serviceName, path, key, []byte(body))
	}
	own := true
	if a.Outcome == "completed" {
		own = isOwnAnswer(a.Text, c.Team, key, body)
		t.recordCompleted(c.Team, key)
	}
	t.record("call", a, start, own)
	return a
}

// probeAll waits until each router completes calls and completions again after the faults.
func (t *traffic) probeAll(ctx context.Context, rng *rand.Rand) error {
	c := &load.Caller{Team: teams[0].Name, Domain: "a", Entries: t.harness.entries}
	for _, r := range t.harness.currentRouters() {
		err := fleet.Await(ctx, serveTimeout, r.ID+" completes requests after the faults", func() error {
			call := t.sendCall(ctx, c, r.CallerAddress, "/credits", fmt.Sprintf("key-%d", rng.Uint64()), "{}")
			completion := t.completeAt(ctx, c, rng, r.CallerAddress)
			if call.Outcome != "completed" || completion.Outcome != "completed" {
				return fmt.Errorf("call %s (%s), completion %s (%s)",
					call.Outcome, call.Reason, completion.Outcome, completion.Reason)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func isOwnAnswer(text, team, key, body string) bool {
	var answer service.Answer
	if json.Unmarshal([]byte(text), &answer) != nil || answer.Echo != body {
		return false
	}
	return key == "" || answer.Key == team+"/"+key
}

func (t *traffic) recordCompleted(team, key string) {
	if key == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed[team+"/"+key] = true
}

// explicitOutcomes are the outcomes that an answer may state.
var explicitOutcomes = map[string]bool{"completed": true, "failed": true, "not-run": true, "unknown": true}

// record records the outcome of a request. valid says whether the answer is complete and belongs to the request.
func (t *traffic) record(kind string, a load.Answer, start time.Time, valid bool) {
	end := time.Now()
	if a.Outcome != "completed" {
		t.harness.logLine(fmt.Sprintf("caller: %s %s at %s after %v: %s, %s",
			kind, a.RequestID, t.harness.routerName(a.Router), end.Sub(start), a.Outcome, a.Reason))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.Outcome == load.OutcomeUnreachable {
		t.outcomes[kind+" unreachable"]++
		if t.gracefulOnly {
			t.failures = append(t.failures, fmt.Sprintf("connection refused: %s to %s at %s",
				kind, t.harness.routerName(a.Router), end.Format(time.StampMilli)))
		}
		return
	}
	t.requests++
	t.outcomes[kind+" "+a.Outcome]++
	switch {
	case !valid:
		t.harness.addViolation(fmt.Sprintf("%s %s: outcome %s with an incomplete answer or that of another request: %.200q",
			kind, a.RequestID, a.Outcome, a.Text))
	case a.Outcome == "not-run" && a.RequestID != "":
		t.notRun[a.RequestID] = a.Reason
		t.outcomes[kind+" not-run, "+a.Reason]++
	case explicitOutcomes[a.Outcome]:
		if a.Outcome != "completed" {
			t.outcomes[kind+" "+a.Outcome+", "+a.Reason]++
		}
	case t.harness.inOutage(a.Router, start, end):
		t.outcomes[kind+" "+a.Outcome+", router killed or paused"]++
	default:
		t.recordMissing(kind, a, start, end)
	}
}

// recordMissing counts a request without an outcome as lost or cut. The caller holds t.mu.
func (t *traffic) recordMissing(kind string, a load.Answer, start, end time.Time) {
	failure := "cut"
	if errors.Is(a.Err, context.DeadlineExceeded) {
		failure = "lost"
		t.lost++
	} else {
		t.cut++
	}
	t.failures = append(t.failures, fmt.Sprintf("%s: %s %s at %s from %s to %s: status %d outcome %q: %v",
		failure, kind, a.RequestID, t.harness.routerName(a.Router), start.Format(time.StampMilli),
		end.Format(time.StampMilli), a.Status, a.Outcome, a.Err))
}

// routerName returns the ID of the router with an address, or the address if no current router has it.
func (h *harness) routerName(address string) string {
	for _, r := range h.currentRouters() {
		if r.CallerAddress == address {
			return r.ID
		}
	}
	return address
}
