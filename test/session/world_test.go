package session

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"gooseberrytide.example/gooseberrytide/internal/coordination/claim"
	"gooseberrytide.example/gooseberrytide/internal/coordination/dispatch"
	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/coordination/publish"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// startOffset separates the timers of the routers, so that no two act at the same instant.
const startOffset = 7 * time.Millisecond

// routerIDs are the routers of each session.
var routerIDs = []ident.RouterID{"r1", "r2", "r3"}

// world is a fleet in one process whose messages are recorded.
type world struct {
	t     *testing.T
	start time.Time
	store *kv.Fake
	calls sync.WaitGroup

	mu    sync.Mutex
	lines []line
	links map[string]time.Time
	nodes map[ident.RouterID]*node
	all   []*node
}

// line is a recorded message or call. Lines of one instant are ordered by the request whose goroutine recorded them;
// messages between routers, which cause the others, have none and come first. Calls to the store have their key instead.
type line struct {
	at      time.Duration
	request string
	text    string
}

// node is one router process.
type node struct {
	world    *world
	id       ident.RouterID
	router   *dispatch.Router
	executor *execute.Executor
	claims   *claim.Manager
	holder   snapshot.Holder
	// syncer is nil in sessions whose configuration is fixed.
	syncer *publish.Syncer
	events *timeline.Ring
	stop   context.CancelFunc
	// recorded are the events up to the end of the process.
	recorded []timeline.Event
}

// session runs a session on synthetic time and compares its record with the golden file.
func session(t *testing.T, name string, run func(w *world)) {
	var record []byte
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t:     t,
			start: time.Now(),
			store: kv.NewFake(),
			links: make(map[string]time.Time),
			nodes: make(map[ident.RouterID]*node),
		}
		for _, id := range routerIDs {
			w.launch(id)
			time.Sleep(startOffset)
		}
		run(w)
		w.calls.Wait()
		for _, id := range routerIDs {
			w.kill(id)
		}
		synctest.Wait()
		record = w.record()
	})
	if !t.Failed() {
		goldie.New(t).Assert(t, name, record)
	}
}

// launch starts a router process without configuration.
func (w *world) launch(id ident.RouterID) {
	n := &node{world: w, id: id, events: timeline.New(4096, id)}
	incarnation := ident.Incarnation(slices.Index(routerIDs, id) + 1)
	n.router = dispatch.NewRouter(dispatch.RouterOptions{
		Self:        id,
		Incarnation: incarnation,
		Domain:      "d1",
		Remote:      n,
		Events:      n.events,
		Serving:     func() bool { return true },
	})
	n.claims = claim.New(claim.Options{
		Store:       recordingStore{n, w.store},
		Self:        id,
		Incarnation: incarnation,
		Budget:      func() int { return 100 },
	})
	n.executor = execute.New(execute.Options{
		Admitter: n.router.Ingress(),
		Backends: backends{n},
		Claims:   n.claims,
		Retry:    noRetries{},
		Objects:  func() *object.Set { return n.holder.Load().Set() },
	})
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	w.mu.Lock()
	w.nodes[id] = n
	w.all = append(w.all, n)
	w.mu.Unlock()
	go n.router.Run(ctx)
}

// kill ends a process. What it does later is not seen by the others.
func (w *world) kill(id ident.RouterID) {
	w.mu.Lock()
	n := w.nodes[id]
	delete(w.nodes, id)
	w.mu.Unlock()
	if n == nil {
		return
	}
	n.recorded = n.events.Since(0, 1<<16)
	n.stop()
	n.claims.Close()
}

// node returns the running process of a router, or nil.
func (w *world) node(id ident.RouterID) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[id]
}

func (w *world) alive(n *node) bool { return w.node(n.id) == n }

// log records a line of a process that runs.
func (n *node) log(request, format string, args ...any) {
	if n.world.alive(n) {
		n.world.log(request, format, args...)
	}
}

func (w *world) log(request, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, line{time.Since(w.start), request, fmt.Sprintf(format, args...)})
}

// record returns the messages and the merged events as text.
func (w *world) record() []byte {
	var out bytes.Buffer
	out.WriteString("messages and calls (time in ms):\n")
	slices.SortStableFunc(w.lines, func(a, b line) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.request, b.request))
	})
	for _, l := range w.lines {
		fmt.Fprintf(&out, "%9.2f  %s\n", milliseconds(l.at), l.text)
	}
	out.WriteString("\nevents:\n")
	var lists [][]timeline.Event
	for _, n := range w.all {
		lists = append(lists, n.recorded)
	}
	for _, e := range timeline.Merge(lists...) {
		at := time.Duration(int64(e.Stamp)-w.start.UnixMicro()) * time.Microsecond
		fmt.Fprintf(&out, "%9.2f  %s %s\n", milliseconds(at), e.Router, eventText(e))
	}
	return out.Bytes()
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// configure puts a configuration in force at a router and all views in agreement.
func (w *world) configure(set *object.Set) {
	s, err := snapshot.Build(1, set)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, id := range routerIDs {
		w.node(id).holder.Advance(s)
	}
	w.view(routerIDs, routerIDs)
	time.Sleep(time.Second)
}

// view tells the routers one after the other who lives and who may dispatch.
func (w *world) view(live, eligible []ident.RouterID) {
	for _, id := range routerIDs {
		if n := w.node(id); n != nil {
			n.router.Update(n.routes(live, eligible))
			time.Sleep(startOffset)
		}
	}
}

// without returns the routers but one.
func without(id ident.RouterID) []ident.RouterID {
	return slices.DeleteFunc(slices.Clone(routerIDs), func(r ident.RouterID) bool { return r == id })
}
