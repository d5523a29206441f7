package session

import (
	"context"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// requestInterval is the time between two requests.
const requestInterval = 53 * time.Millisecond

// Guards against unnoticed changes to the messages of a completion whose ingress router is not the dispatcher.
func TestCompletionThroughAnotherIngress(t *testing.T) {
	runSession(t, "completion", func(f *fleet) {
		f.configure(fixture())
		ingress := otherRouters(f.owner(ident.ModelPool("m")))[0]
		f.startCompletion(context.Background(), ingress, "alarms", 4)
		f.calls.Wait()
		time.Sleep(time.Second)
	})
}

// Guards against a repeated call that runs twice or gets another answer than the first one.
func TestRepeatedCallAtAnotherRouter(t *testing.T) {
	runSession(t, "repeated-call", func(f *fleet) {
		f.configure(fixture())
		f.call("r1", "alarms", "order-1", "3 cups")
		time.Sleep(requestInterval)
		f.call("r2", "alarms", "order-1", "3 cups")
		time.Sleep(requestInterval)
		f.call("r3", "alarms", "order-1", "4 cups")
		time.Sleep(requestInterval)
		f.call("r3", "summaries", "order-1", "4 cups")
		time.Sleep(time.Second)
	})
}

// startCompletions starts completions at the dispatcher of the model and at the other routers, and returns the
// dispatcher: two run and the others wait. Those at the dispatcher end with the context.
func (f *fleet) startCompletions(ctx context.Context) (owner ident.RouterID) {
	owner = f.owner(ident.ModelPool("m"))
	others := otherRouters(owner)
	background := context.Background()
	f.startCompletion(ctx, owner, "alarms", 6)
	time.Sleep(requestInterval)
	f.startCompletion(background, others[0], "summaries", 8)
	time.Sleep(requestInterval)
	for range 2 {
		f.startCompletion(background, others[1], "summaries", 2)
		time.Sleep(requestInterval)
		f.startCompletion(background, others[0], "alarms", 2)
		time.Sleep(requestInterval)
	}
	f.startCompletion(ctx, owner, "alarms", 2)
	time.Sleep(requestInterval)
	return owner
}

// Guards against a graceful shutdown that cuts off a request, loses a waiting one, or changes their order.
func TestShutdownOfDispatcher(t *testing.T) {
	runSession(t, "shutdown", func(f *fleet) {
		f.configure(fixture())
		owner := f.startCompletions(context.Background())
		n := f.node(owner)
		n.events.Add(timeline.Event{Kind: timeline.KindDrain, Detail: "started"})
		f.updateViews(routerIDs, otherRouters(owner))
		for n.router.Ingress().Active() > 0 {
			time.Sleep(requestInterval)
		}
		n.executor.Wait()
		if err := n.claims.Drain(context.Background()); err != nil {
			f.t.Error(err)
		}
		n.events.Add(timeline.Event{Kind: timeline.KindDrain, Detail: "ended"})
		f.stopNode(owner)
		f.updateViews(otherRouters(owner), otherRouters(owner))
		f.calls.Wait()
		time.Sleep(time.Second)
	})
}

// detectionTime is the time after which the other routers regard a crashed one as dead.
const detectionTime = 3 * time.Second

// Guards against a takeover after a crash that loses waiting requests or running attempts, or changes their order.
func TestCrashOfDispatcher(t *testing.T) {
	runSession(t, "crash", func(f *fleet) {
		f.configure(fixture())
		ctx, cancel := context.WithCancel(context.Background())
		owner := f.startCompletions(ctx)
		f.stopNode(owner)
		cancel()
		time.Sleep(detectionTime)
		f.updateViews(otherRouters(owner), otherRouters(owner))
		f.calls.Wait()
		time.Sleep(time.Second)
	})
}
