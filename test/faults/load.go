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
	// answerLimit is how long a caller waits for an outcome. It is above the service's limit of 30 s and the pauses.
	answerLimit = 75 * time.Second
	// streamsPerTeam is the number of completions that a team keeps outstanding.
	streamsPerTeam = 4
	// callPause is the mean pause between calls of a team.
	callPause = 60 * time.Millisecond
	maxTokens = 120
	// abandonOneIn is how many requests come to one that its caller abandons within patience.
	abandonOneIn = 8
	patience     = 150 * time.Millisecond
	// refusedPause is the pause after a refusal.
	refusedPause = 100 * time.Millisecond
)

// traffic is the load of a scenario and what became of it.
type traffic struct {
	w    *world
	stop chan struct{}
	loop sync.WaitGroup
	// planned says that no caller may find a port closed.
	planned bool

	mu       sync.Mutex
	requests int
	lost     int
	cut      int
	outcomes map[string]int
	// notRun holds the ids of requests that were answered not-run, with their reasons.
	notRun map[string]string
	// completed holds the keys of completed non-idempotent calls.
	completed map[string]bool
	details   []string
}

func newTraffic(w *world) *traffic {
	return &traffic{
		w: w, stop: make(chan struct{}), outcomes: map[string]int{}, notRun: map[string]string{}, completed: map[string]bool{},
	}
}

// start starts the loops of all teams.
func (t *traffic) start(ctx context.Context, seed uint64) {
	for n, team := range teams {
		c := &load.Caller{Team: team.Name, Domain: "a", Entries: t.w.entries}
		for k := range streamsPerTeam {
			rng := rand.New(rand.NewPCG(seed, uint64(n)<<16|uint64(k)|1<<32))
			t.loop.Go(func() { t.streams(ctx, c, rng) })
		}
		rng := rand.New(rand.NewPCG(seed, uint64(n)|1<<33))
		t.loop.Go(func() { t.calls(ctx, c, rng) })
	}
}

// end stops the loops and waits for the requests that are under way.
func (t *traffic) end() {
	close(t.stop)
	t.loop.Wait()
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

func (t *traffic) streams(ctx context.Context, c *load.Caller, rng *rand.Rand) {
	for t.running(ctx) {
		if rng.IntN(abandonOneIn) == 0 {
			t.abandon(ctx, rng, func(ctx context.Context) {
				prompt := fmt.Sprintf("%s asks for shed %d and leaves", c.Team, rng.Uint64())
				c.CompleteAt(ctx, t.any(rng), load.CompletionBody(modelName, prompt, maxTokens))
			})
		}
		a := t.complete(ctx, c, rng)
		if a.Outcome != "completed" {
			periodic.Sleep(ctx, refusedPause)
		}
	}
}

// complete sends a completion: one half to an address that the fleet names, the other to any router.
func (t *traffic) complete(ctx context.Context, c *load.Caller, rng *rand.Rand) load.Answer {
	router := ""
	if rng.IntN(2) == 0 {
		router = t.any(rng)
	}
	return t.completeAt(ctx, c, rng, router)
}

// completeAt sends a completion to a router, or to an address that the fleet names.
func (t *traffic) completeAt(ctx context.Context, c *load.Caller, rng *rand.Rand, router string) load.Answer {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
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

func (t *traffic) any(rng *rand.Rand) string {
	list := t.w.entries()
	return list[rng.IntN(len(list))]
}

func (t *traffic) calls(ctx context.Context, c *load.Caller, rng *rand.Rand) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; t.running(ctx); n++ {
		periodic.Sleep(ctx, time.Duration(rng.ExpFloat64()*float64(callPause)))
		own := rand.New(rand.NewPCG(rng.Uint64(), uint64(n)))
		group.Go(func() { t.call(ctx, c, own) })
	}
}

// call sends a call: a quarter are lookups, the others have a key. A third of these is repeated at another router while
// the first is under way, and all whose end is not known are repeated afterwards.
func (t *traffic) call(ctx context.Context, c *load.Caller, rng *rand.Rand) {
	body := fmt.Sprintf(`{"credit":%d}`, rng.Uint64())
	if rng.IntN(4) == 0 {
		t.send(ctx, c, "", "/lookup/stock", "", body)
		return
	}
	key := fmt.Sprintf("key-%d", rng.Uint64())
	router := ""
	if rng.IntN(2) == 0 {
		router = t.any(rng)
	}
	if rng.IntN(abandonOneIn) == 0 {
		t.abandon(ctx, rng, func(ctx context.Context) {
			c.CallAt(ctx, t.any(rng), serviceName, "/credits", key, []byte(body))
		})
	}
	var group sync.WaitGroup
	if rng.IntN(3) == 0 {
		pause := time.Duration(rng.IntN(80)) * time.Millisecond
		other := t.any(rng)
		group.Go(func() {
			periodic.Sleep(ctx, pause)
			t.send(ctx, c, other, "/credits", key, body)
		})
	}
	a := t.send(ctx, c, router, "/credits", key, body)
	group.Wait()
	if a.Outcome != "completed" {
		periodic.Sleep(ctx, refusedPause)
		t.send(ctx, c, t.any(rng), "/credits", key, body)
	}
}

// abandon sends a request whose caller leaves before the answer, or just after it.
func (t *traffic) abandon(ctx context.Context, rng *rand.Rand, send func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(rng.Int64N(int64(patience))))
	defer cancel()
	send(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes["abandoned"]++
}

// repeated sends a call with a key to one router and repeats it at once at others.
func (t *traffic) repeated(ctx context.Context, c *load.Caller, rng *rand.Rand, router *fleet.Router) {
	body := fmt.Sprintf(`{"credit":%d}`, rng.Uint64())
	key := fmt.Sprintf("key-%d", rng.Uint64())
	var group sync.WaitGroup
	group.Go(func() { t.send(ctx, c, router.Caller, "/credits", key, body) })
	for range 2 {
		periodic.Sleep(ctx, time.Duration(20+rng.IntN(100))*time.Millisecond)
		other := t.any(rng)
		group.Go(func() { t.send(ctx, c, other, "/credits", key, body) })
	}
	group.Wait()
}

// send sends a call to a router, or to an address that the fleet names.
func (t *traffic) send(ctx context.Context, c *load.Caller, router, path, key, body string) load.Answer {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
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
		own = ownAnswer(a.Text, c.Team, key, body)
		t.noteCompleted(c.Team, key)
	}
	t.record("call", a, start, own)
	return a
}

// probeAll checks after the faults that each router completes both kinds of requests again.
func (t *traffic) probeAll(ctx context.Context, rng *rand.Rand) error {
	c := &load.Caller{Team: teams[0].Name, Domain: "a", Entries: t.w.entries}
	for _, r := range t.w.current() {
		err := fleet.Await(ctx, serveLimit, r.ID+" completes requests after the faults", func() error {
			call := t.send(ctx, c, r.Caller, "/credits", fmt.Sprintf("key-%d", rng.Uint64()), "{}")
			completion := t.completeAt(ctx, c, rng, r.Caller)
			if call.Outcome != "completed" || completion.Outcome != "completed" {
				return fmt.Errorf("call %s (%s), completion %s (%s)", call.Outcome, call.Reason, completion.Outcome, completion.Reason)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func ownAnswer(text, team, key, body string) bool {
	var answer service.Answer
	if json.Unmarshal([]byte(text), &answer) != nil || answer.Echo != body {
		return false
	}
	return key == "" || answer.Key == team+"/"+key
}

func (t *traffic) noteCompleted(team, key string) {
	if key == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed[team+"/"+key] = true
}

// explicit are the outcomes that an answer may state.
var explicit = map[string]bool{"completed": true, "failed": true, "not-run": true, "unknown": true}

// record notes the end of a request.
func (t *traffic) record(kind string, a load.Answer, start time.Time, own bool) {
	end := time.Now()
	if a.Outcome != "completed" {
		t.w.logLine(fmt.Sprintf("caller: %s %s at %s after %v: %s, %s", kind, a.RequestID, t.w.name(a.Router), end.Sub(start), a.Outcome, a.Reason))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.Outcome == load.OutcomeUnreachable {
		t.outcomes[kind+" unreachable"]++
		if t.planned {
			t.details = append(t.details, fmt.Sprintf("refused connection: %s to %s at %s", kind, t.w.name(a.Router), end.Format(time.StampMilli)))
		}
		return
	}
	t.requests++
	t.outcomes[kind+" "+a.Outcome]++
	switch {
	case !own:
		t.w.violate(fmt.Sprintf("%s %s: outcome %s with an answer that is not whole or not its own: %.200q", kind, a.RequestID, a.Outcome, a.Text))
	case a.Outcome == "not-run" && a.RequestID != "":
		t.notRun[a.RequestID] = a.Reason
		t.outcomes[kind+" not-run, "+a.Reason]++
	case explicit[a.Outcome]:
		if a.Outcome != "completed" {
			t.outcomes[kind+" "+a.Outcome+", "+a.Reason]++
		}
	case t.w.isExcused(a.Router, start, end):
		t.outcomes[kind+" "+a.Outcome+", router killed or paused"]++
	default:
		t.lose(kind, a, start, end)
	}
}

// lose counts a request without outcome. The lock is held.
func (t *traffic) lose(kind string, a load.Answer, start, end time.Time) {
	what := "cut"
	if errors.Is(a.Err, context.DeadlineExceeded) {
		what = "lost"
		t.lost++
	} else {
		t.cut++
	}
	t.details = append(t.details, fmt.Sprintf("%s: %s %s at %s from %s to %s: status %d outcome %q: %v", what, kind, a.RequestID,
		t.w.name(a.Router), start.Format(time.StampMilli), end.Format(time.StampMilli), a.Status, a.Outcome, a.Err))
}

// name returns the name of the router with an address.
func (w *world) name(address string) string {
	for _, r := range w.current() {
		if r.Caller == address {
			return r.ID
		}
	}
	return address
}
