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

// startOffset is the time between the starts of two routers. It keeps their timers from firing at the same instant.
const startOffset = 7 * time.Millisecond

// routerIDs are the IDs of the routers of each session.
var routerIDs = []ident.RouterID{"r1", "r2", "r3"}

// fleet is a set of routers in one process whose messages and calls are recorded.
type fleet struct {
	t     *testing.T
	start time.Time
	store *kv.Fake
	calls sync.WaitGroup

	mu    sync.Mutex
	lines []line
	// lastArrival holds the arrival time of the last message on each link.
	lastArrival map[string]time.Time
	// nodes holds the running processes; allNodes also holds the ended ones.
	nodes    map[ident.RouterID]*node
	allNodes []*node
}

// line is a recorded message or call. Lines of the same instant are sorted by request. Messages between routers have no
// request and come first, because they cause the other lines. Calls to the store have the key in place of the request.
type line struct {
	// at is the time since the start of the session.
	at      time.Duration
	request string
	text    string
}

// node is one router process.
type node struct {
	fleet    *fleet
	id       ident.RouterID
	router   *dispatch.Router
	executor *execute.Executor
	claims   *claim.Manager
	holder   snapshot.Holder
	// syncer is nil until startSync, and in sessions whose configuration is fixed.
	syncer *publish.Syncer
	events *timeline.Ring
	stop   context.CancelFunc
	// recordedEvents are the timeline events up to the end of the process.
	recordedEvents []timeline.Event
}

// runSession runs a session on synthetic time and compares its record with the golden file.
func runSession(t *testing.T, name string, run func(f *fleet)) {
	var record []byte
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			t:           t,
			start:       time.Now(),
			store:       kv.NewFake(),
			lastArrival: make(map[string]time.Time),
			nodes:       make(map[ident.RouterID]*node),
		}
		for _, id := range routerIDs {
			f.startNode(id)
			time.Sleep(startOffset)
		}
		run(f)
		f.calls.Wait()
		for _, id := range routerIDs {
			f.stopNode(id)
		}
		synctest.Wait()
		record = f.record()
	})
	if !t.Failed() {
		goldie.New(t).Assert(t, name, record)
	}
}

// startNode starts a router process without a configuration.
func (f *fleet) startNode(id ident.RouterID) {
	n := &node{fleet: f, id: id, events: timeline.New(4096, id)}
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
		Store:       recordingStore{n, f.store},
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
	f.mu.Lock()
	f.nodes[id] = n
	f.allNodes = append(f.allNodes, n)
	f.mu.Unlock()
	go n.router.Run(ctx)
}

// stopNode ends a router process. Whatever it still does is neither recorded nor seen by the others.
func (f *fleet) stopNode(id ident.RouterID) {
	f.mu.Lock()
	n := f.nodes[id]
	delete(f.nodes, id)
	f.mu.Unlock()
	if n == nil {
		return
	}
	n.recordedEvents = n.events.Since(0, 1<<16)
	n.stop()
	n.claims.Close()
}

// node returns the running process of a router, or nil.
func (f *fleet) node(id ident.RouterID) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[id]
}

func (f *fleet) alive(n *node) bool { return f.node(n.id) == n }

// log records a line if the process is still running.
func (n *node) log(request, format string, args ...any) {
	if n.fleet.alive(n) {
		n.fleet.log(request, format, args...)
	}
}

func (f *fleet) log(request, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lines = append(f.lines, line{time.Since(f.start), request, fmt.Sprintf(format, args...)})
}

// record returns the recorded lines and the merged timeline events as text.
func (f *fleet) record() []byte {
	var out bytes.Buffer
	out.WriteString("messages and calls (time in ms):\n")
	slices.SortStableFunc(f.lines, func(a, b line) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.request, b.request))
	})
	for _, l := range f.lines {
		fmt.Fprintf(&out, "%9.2f  %s\n", milliseconds(l.at), l.text)
	}
	out.WriteString("\nevents:\n")
	var lists [][]timeline.Event
	for _, n := range f.allNodes {
		lists = append(lists, n.recordedEvents)
	}
	for _, e := range timeline.Merge(lists...) {
		at := time.Duration(int64(e.Stamp)-f.start.UnixMicro()) * time.Microsecond
		fmt.Fprintf(&out, "%9.2f  %s %s\n", milliseconds(at), e.Router, eventText(e))
	}
	return out.Bytes()
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// configure puts a configuration in force at all routers and tells them that all routers are live and may dispatch.
func (f *fleet) configure(set *object.Set) {
	s, err := snapshot.Build(1, set)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, id := range routerIDs {
		f.node(id).holder.Advance(s)
	}
	f.updateViews(routerIDs, routerIDs)
	time.Sleep(time.Second)
}

// updateViews tells the routers one after the other which routers are live and which may dispatch.
func (f *fleet) updateViews(live, eligible []ident.RouterID) {
	for _, id := range routerIDs {
		if n := f.node(id); n != nil {
			n.router.Update(n.routes(live, eligible))
			time.Sleep(startOffset)
		}
	}
}

// otherRouters returns the IDs of all routers except one.
func otherRouters(id ident.RouterID) []ident.RouterID {
	return slices.DeleteFunc(slices.Clone(routerIDs), func(r ident.RouterID) bool { return r == id })
}
