package session

import (
	"context"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// step separates the callers' requests.
const step = 53 * time.Millisecond

// Guards against an unnoticed change of the messages of a completion through an ingress that is not the dispatcher.
func TestCompletionThroughAnotherIngress(t *testing.T) {
	session(t, "completion", func(w *world) {
		w.configure(fixture())
		ingress := without(w.owner(ident.ModelPool("m")))[0]
		w.complete(context.Background(), ingress, "alarms", 4)
		w.calls.Wait()
		time.Sleep(time.Second)
	})
}

// Guards against a repeated call that runs twice, or gets another answer than the first.
func TestRepeatedCallAtAnotherRouter(t *testing.T) {
	session(t, "repeated-call", func(w *world) {
		w.configure(fixture())
		w.call("r1", "alarms", "order-1", "3 cups")
		time.Sleep(step)
		w.call("r2", "alarms", "order-1", "3 cups")
		time.Sleep(step)
		w.call("r3", "alarms", "order-1", "4 cups")
		time.Sleep(step)
		w.call("r3", "summaries", "order-1", "4 cups")
		time.Sleep(time.Second)
	})
}

// busy starts requests at the dispatcher of the model and at the other routers: two run, four wait. Those at the
// dispatcher end with the context.
func (w *world) busy(ctx context.Context) (owner ident.RouterID) {
	owner = w.owner(ident.ModelPool("m"))
	others := without(owner)
	background := context.Background()
	w.complete(ctx, owner, "alarms", 6)
	time.Sleep(step)
	w.complete(background, others[0], "summaries", 8)
	time.Sleep(step)
	for range 2 {
		w.complete(background, others[1], "summaries", 2)
		time.Sleep(step)
		w.complete(background, others[0], "alarms", 2)
		time.Sleep(step)
	}
	w.complete(ctx, owner, "alarms", 2)
	time.Sleep(step)
	return owner
}

// Guards against a graceful shutdown that cuts off a request, loses a waiting one, or changes their order.
func TestShutdownOfDispatcher(t *testing.T) {
	session(t, "shutdown", func(w *world) {
		w.configure(fixture())
		owner := w.busy(context.Background())
		n := w.node(owner)
		n.events.Add(timeline.Event{Kind: timeline.KindDrain, Detail: "started"})
		w.view(routerIDs, without(owner))
		for n.router.Ingress().Active() > 0 {
			time.Sleep(step)
		}
		n.executor.Wait()
		if err := n.claims.Drain(context.Background()); err != nil {
			w.t.Error(err)
		}
		n.events.Add(timeline.Event{Kind: timeline.KindDrain, Detail: "ended"})
		w.kill(owner)
		w.view(without(owner), without(owner))
		w.calls.Wait()
		time.Sleep(time.Second)
	})
}

// detection is the time after which the other routers hold a silent one for dead.
const detection = 3 * time.Second

// Guards against a hand-over after a crash that loses waiting requests or running attempts, or changes their order.
func TestCrashOfDispatcher(t *testing.T) {
	session(t, "crash", func(w *world) {
		w.configure(fixture())
		ctx, cut := context.WithCancel(context.Background())
		owner := w.busy(ctx)
		w.kill(owner)
		cut()
		time.Sleep(detection)
		w.view(without(owner), without(owner))
		w.calls.Wait()
		time.Sleep(time.Second)
	})
}
