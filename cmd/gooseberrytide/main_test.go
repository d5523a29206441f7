package main

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"gooseberrytide.example/gooseberrytide/internal/coordination/publish"
	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
)

const token = "operator-token"

// fakeRouter implements admin.API on a fake store. Router r2 gets a new generation with the third status request.
type fakeRouter struct {
	publisher *publish.Publisher
	store     *kv.Fake

	mu sync.Mutex
	// beforeApply runs once before the next apply and simulates a concurrent publish by another operator.
	beforeApply func()
	statusCalls int
}

func (b *fakeRouter) Config(ctx context.Context) (ident.Generation, *object.Set, bool, error) {
	gen, set, err := b.publisher.Head(ctx)
	return gen, set, false, err
}

func (b *fakeRouter) Apply(ctx context.Context, base ident.Generation, set *object.Set) (ident.Generation, error) {
	b.mu.Lock()
	before := b.beforeApply
	b.beforeApply = nil
	b.mu.Unlock()
	if before != nil {
		before()
	}
	return b.publisher.Publish(ctx, base, set)
}

func (b *fakeRouter) Status(ctx context.Context) (admin.Status, error) {
	gen, _, err := b.publisher.Head(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.statusCalls++
	laggingGen := gen
	if b.statusCalls < 3 {
		laggingGen--
	}
	return admin.Status{Self: "r1", Generation: gen, Serving: true, Members: []admin.Member{
		{ID: "r1", State: "alive", Generation: gen},
		{ID: "r2", State: "alive", Generation: laggingGen},
		{ID: "r3", State: "dead"},
	}}, err
}

func (b *fakeRouter) Timeline(_ context.Context, q admin.TimelineQuery) (admin.Timeline, error) {
	event := admin.Event{Seq: q.Since + 1, Router: "r1", Kind: "grant", Request: q.Request, Time: time.Unix(0, 0)}
	return admin.Timeline{Router: "r1", Events: []admin.Event{event}, Unreachable: []ident.RouterID{"r3"}}, nil
}

// testTool runs the operator's tool against a fake router.
type testTool struct {
	t          *testing.T
	fakeRouter *fakeRouter
	routerURL  string
	dir        string
}

func newTestTool(t *testing.T) *testTool {
	store := kv.NewFake()
	b := &fakeRouter{store: store, publisher: publish.NewPublisher(store, func() bool { return true })}
	server := httptest.NewServer(adminhttp.NewHandler(adminhttp.Options{API: b, Token: token}))
	t.Cleanup(server.Close)
	return &testTool{t: t, fakeRouter: b, routerURL: server.URL, dir: t.TempDir()}
}

func (x *testTool) run(args ...string) (string, error) {
	var out bytes.Buffer
	root := newRoot()
	root.Writer = &out
	err := root.Run(x.t.Context(), append([]string{"gooseberrytide", "--router", x.routerURL, "--token", token}, args...))
	return out.String(), err
}

func (x *testTool) mustRun(args ...string) string {
	x.t.Helper()
	out, err := x.run(args...)
	if err != nil {
		x.t.Fatalf("%v: %v", args, err)
	}
	return out
}

func (x *testTool) writeFile(name, content string) string {
	path := filepath.Join(x.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		x.t.Fatal(err)
	}
	return path
}

func vmFile(name, state string) string {
	return `{"objects":[{"kind":"vm","name":"` + name + `","spec":{"state":"` + state + `"}}]}`
}

func expectContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("%q lacks %q", text, part)
		}
	}
}

// Guards against a publish whose effect differs from the output of diff and get.
func TestApplyDiffGet(t *testing.T) {
	x := newTestTool(t)
	a := x.writeFile("a.json", vmFile("a", "active"))
	b := x.writeFile("b.json", vmFile("b", "active"))
	expectContains(t, x.mustRun("diff", a, b), "+ vm/a", "+ vm/b", "2 objects differ from generation 0")
	expectContains(t, x.mustRun("apply", "--wait", a, b),
		"published generation 1", "r1 has generation 1", "r2 has generation 1", "in force on 2 routers")
	expectContains(t, x.mustRun("apply", a), "no change; generation 1")
	expectContains(t, x.mustRun("diff", "--prune", a), "- vm/b")
	expectContains(t, x.mustRun("apply", "--prune", a), "published generation 2")
	if out := x.mustRun("get"); strings.Contains(out, `"b"`) {
		t.Errorf("pruned object still exists: %s", out)
	}
	expectContains(t, x.mustRun("get", "vm/a"), `{"kind":"vm","name":"a","spec":{"state":"active"}}`)
	if _, err := x.run("get", "team"); err == nil {
		t.Error("get succeeded for a kind without objects")
	}
}

// Guards against a rebase that loses a concurrent change, and against a concurrent change that is overwritten without
// rebase.
func TestApplyWithConcurrentPublish(t *testing.T) {
	x := newTestTool(t)
	x.mustRun("apply", x.writeFile("base.json",
		`{"objects":[{"kind":"vm","name":"a","spec":{}},{"kind":"vm","name":"b","spec":{}}]}`))
	mine := x.writeFile("mine.json", vmFile("a", "draining"))
	publishConcurrently := func(name, state string) {
		x.fakeRouter.beforeApply = func() {
			gen, set, _ := x.fakeRouter.publisher.Head(t.Context())
			set.VMs[name] = &object.VM{Name: name, State: object.State(state)}
			_, _ = x.fakeRouter.publisher.Publish(t.Context(), gen, set)
		}
	}
	publishConcurrently("b", "draining")
	if _, err := x.run("apply", mine); err == nil || exitCode(err) != exitConflict {
		t.Fatalf("got %v", err)
	}
	publishConcurrently("c", "active")
	expectContains(t, x.mustRun("apply", "--rebase", mine), "published generation 4")
	expectContains(t, x.mustRun("get"), `"a","spec":{"state":"draining"}`, `"b","spec":{"state":"draining"}`, `"c"`)
	x.mustRun("drain", "--undo", "vm/a")
	publishConcurrently("a", "draining")
	x.fakeRouter.publisher = publish.NewPublisher(x.fakeRouter.store, func() bool { return true })
	_, err := x.run("apply", "--rebase", x.writeFile("gone.json", `{"objects":[{"kind":"vm","name":"d","spec":{}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	expectContains(t, x.mustRun("get"), `"a","spec":{"state":"draining"}`, `"d"`)
}

// Guards against a change on an outdated base that overwrites changes published since.
func TestApplyOnBaseFile(t *testing.T) {
	x := newTestTool(t)
	x.mustRun("apply", x.writeFile("a.json", vmFile("a", "active")))
	base := x.writeFile("base.json", x.mustRun("get"))
	x.mustRun("apply", x.writeFile("b.json", vmFile("b", "active")))
	mine := x.writeFile("mine.json", vmFile("a", "draining"))
	if _, err := x.run("apply", "--base", base, mine); exitCode(err) != exitConflict {
		t.Fatalf("without rebase: %v", err)
	}
	expectContains(t, x.mustRun("apply", "--base", base, "--rebase", mine), "published generation 3")
	expectContains(t, x.mustRun("get"), `"b"`)
	other := x.writeFile("other.json", `{"objects":[{"kind":"vm","name":"b","spec":{"state":"draining"}}]}`)
	_, err := x.run("apply", "--base", base, "--rebase", other)
	if exitCode(err) != exitConflict || !strings.Contains(err.Error(), "vm/b") {
		t.Fatalf("same object: %v", err)
	}
}

// Guards against invalid files that are published, and against findings without the file name.
func TestFindings(t *testing.T) {
	x := newTestTool(t)
	bad := x.writeFile("bad.json", `{"objects":[{"kind":"version","name":"v","spec":{"model":"m","weights":"w"}}]}`)
	for _, command := range []string{"validate", "apply"} {
		_, err := x.run(command, bad)
		if exitCode(err) != exitFindings ||
			!strings.Contains(err.Error(), `bad.json: version/v: spec.model: model "m" does not exist`) {
			t.Errorf("%s: %v", command, err)
		}
	}
	if keys := x.fakeRouter.store.Keys(); len(keys) != 0 {
		t.Errorf("keys written to the store: %v", keys)
	}
}

// Guards against a drain that changes other fields than the state, or accepts an object that cannot be drained.
func TestDrain(t *testing.T) {
	x := newTestTool(t)
	x.mustRun("apply", x.writeFile("all.json", `{"objects":[
{"kind":"failure-domain","name":"f","spec":{}},
{"kind":"service","name":"s","spec":{}},
{"kind":"backend-server","name":"b","spec":{"kind":"service","service":"s","address":"10.0.0.1:1","failure_domain":"f","slots":3}}]}`))
	x.mustRun("drain", "backend-server/b")
	expectContains(t, x.mustRun("get", "backend-server/b"), `"slots":3,"state":"draining"`)
	x.mustRun("drain", "--undo", "backend-server/b")
	expectContains(t, x.mustRun("get", "backend-server/b"), `"state":"active"`)
	x.mustRun("drain", "vm/r1")
	expectContains(t, x.mustRun("get", "vm/r1"), `"state":"draining"`)
	for _, name := range []string{"backend-server/none", "service/s", "b", ""} {
		if _, err := x.run("drain", name); err == nil {
			t.Errorf("drain %q succeeded", name)
		}
	}
}

// Guards against a publish with an unknown result that the tool reports as failed or successful.
func TestUncertainPublish(t *testing.T) {
	x := newTestTool(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	x.fakeRouter.store.Inject(func(op kv.Op, key string) kv.Fault {
		if op == kv.OpCompareAndSwap && key == publish.HeadKey {
			x.fakeRouter.store.SetOutage(true)
			cancel()
			return kv.Fault{Kind: kv.FaultLostLate}
		}
		return kv.Fault{}
	})
	root := newRoot()
	root.Writer = &bytes.Buffer{}
	a := x.writeFile("a.json", vmFile("a", "active"))
	err := root.Run(ctx, []string{"gooseberrytide", "--router", x.routerURL, "--token", token, "apply", a})
	if exitCode(err) != exitUncertain {
		t.Fatalf("got %v", err)
	}
}

// Guards against tokens that are not checked, and against a timeline that does not mention unreachable routers.
func TestTimelineAndToken(t *testing.T) {
	x := newTestTool(t)
	expectContains(t, x.mustRun("timeline", "--request", "r1-1-1", "--since", "6"),
		"grant  request=r1-1-1", "missing from r3")
	expectContains(t, x.mustRun("timeline", "--json", "--since", "6"), `"seq":7`, `"note":"events are missing from r3"`)
	var status *adminhttp.StatusError
	_, err := adminhttp.NewClient(x.routerURL, "wrong").Status(t.Context())
	if !errors.As(err, &status) || status.Status != 401 {
		t.Fatalf("got %v", err)
	}
}

// Guards against --follow repeating events, or printing none after the router has restarted.
func TestFollowAcrossRestart(t *testing.T) {
	var out bytes.Buffer
	p := newEventPrinter(&out, false)
	event := func(seq uint64, kind string) admin.Event {
		return admin.Event{Seq: seq, Router: "r1", Kind: kind, Time: time.Unix(int64(len(kind)), 0)}
	}
	p.print(admin.Timeline{Router: "r1", Last: 9, Events: []admin.Event{event(9, "a")}})
	p.print(admin.Timeline{Router: "r1", Last: 9, Events: []admin.Event{event(9, "a")}})
	p.print(admin.Timeline{Router: "r1", Last: 2})
	if p.lastSeq != 0 {
		t.Errorf("the next read starts after event %d, want 0", p.lastSeq)
	}
	p.print(admin.Timeline{Router: "r1", Last: 2, Events: []admin.Event{event(2, "bb")}})
	if got := strings.Count(out.String(), "\n"); got != 2 {
		t.Errorf("%d lines: %s", got, out.String())
	}
}

// Guards against a status that does not list problems and faulty rows first.
func TestRenderStatus(t *testing.T) {
	status := admin.Status{
		Self: "r1", Generation: 7, Serving: true,
		Members: []admin.Member{
			{ID: "r1", State: "alive", Generation: 7, Domain: "a", Address: "10.0.0.1:80"},
			{ID: "r2", State: "alive", Generation: 6, Domain: "b", Address: "10.0.0.2:80", Draining: true},
			{ID: "r3", State: "dead", Generation: 7, Domain: "c", Address: "10.0.0.3:80"},
		},
		Owners: map[string]ident.RouterID{"model/m#0": "r1", "service/s#0": "r1"},
		Shards: []admin.ShardStatus{
			{Shard: "model/m#0", Queued: 3, Running: 8, Limit: 8, Gap: 120, Bound: 900},
			{Shard: "model/n#0", Queued: 0, Running: 0, Limit: 4, Bound: 900},
			{Shard: "service/s#0", Queued: 1, Running: 0, Limit: 0, Gap: 20, Bound: 10},
		},
		Drained:  []string{"vm/r2"},
		Problems: []string{"store is down since 12:00:00", "router r3 is dead"},
	}
	var out bytes.Buffer
	renderStatus(&out, status)
	goldie.New(t).Assert(t, "status", out.Bytes())
}
