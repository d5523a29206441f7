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

// backend is a router whose members follow the published generation after some looks.
type backend struct {
	publisher *publish.Publisher
	store     *kv.Fake

	mu sync.Mutex
	// before runs once before the next apply, as a racing operator.
	before func()
	looks  int
}

func (b *backend) Config(ctx context.Context) (ident.Generation, *object.Set, bool, error) {
	gen, set, err := b.publisher.Head(ctx)
	return gen, set, false, err
}

func (b *backend) Apply(ctx context.Context, base ident.Generation, set *object.Set) (ident.Generation, error) {
	b.mu.Lock()
	before := b.before
	b.before = nil
	b.mu.Unlock()
	if before != nil {
		before()
	}
	return b.publisher.Publish(ctx, base, set)
}

func (b *backend) Status(ctx context.Context) (admin.Status, error) {
	gen, _, err := b.publisher.Head(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.looks++
	late := gen
	if b.looks < 3 {
		late--
	}
	return admin.Status{Self: "r1", Generation: gen, Serving: true, Members: []admin.Member{
		{ID: "r1", State: "alive", Generation: gen},
		{ID: "r2", State: "alive", Generation: late},
		{ID: "r3", State: "dead"},
	}}, err
}

func (b *backend) Timeline(_ context.Context, q admin.TimelineQuery) (admin.Timeline, error) {
	event := admin.Event{Seq: q.Since + 1, Router: "r1", Kind: "grant", Request: q.Request, Time: time.Unix(0, 0)}
	return admin.Timeline{Router: "r1", Events: []admin.Event{event}, Unreachable: []ident.RouterID{"r3"}}, nil
}

// tool runs the operator's tool against a router.
type tool struct {
	t       *testing.T
	backend *backend
	router  string
	dir     string
}

func newTool(t *testing.T) *tool {
	store := kv.NewFake()
	b := &backend{store: store, publisher: publish.NewPublisher(store, func() bool { return true })}
	server := httptest.NewServer(adminhttp.NewHandler(adminhttp.Options{Backend: b, Token: token}))
	t.Cleanup(server.Close)
	return &tool{t: t, backend: b, router: server.URL, dir: t.TempDir()}
}

func (x *tool) run(args ...string) (string, error) {
	var out bytes.Buffer
	root := newRoot()
	root.Writer = &out
	err := root.Run(x.t.Context(), append([]string{"gooseberrytide", "--router", x.router, "--token", token}, args...))
	return out.String(), err
}

func (x *tool) must(args ...string) string {
	x.t.Helper()
	out, err := x.run(args...)
	if err != nil {
		x.t.Fatalf("%v: %v", args, err)
	}
	return out
}

func (x *tool) file(name, content string) string {
	path := filepath.Join(x.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		x.t.Fatal(err)
	}
	return path
}

func vmFile(name, state string) string {
	return `{"objects":[{"kind":"vm","name":"` + name + `","spec":{"state":"` + state + `"}}]}`
}

func expectText(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("%q lacks %q", text, part)
		}
	}
}

// Guards against a publish whose effect differs from what diff announces and get returns.
func TestApplyDiffGet(t *testing.T) {
	x := newTool(t)
	a := x.file("a.json", vmFile("a", "active"))
	b := x.file("b.json", vmFile("b", "active"))
	expectText(t, x.must("diff", a, b), "+ vm/a", "+ vm/b", "2 objects differ from generation 0")
	expectText(t, x.must("apply", "--wait", a, b), "published generation 1", "r1 has generation 1", "r2 has generation 1", "in force on 2 routers")
	expectText(t, x.must("apply", a), "no change; generation 1")
	expectText(t, x.must("diff", "--prune", a), "- vm/b")
	expectText(t, x.must("apply", "--prune", a), "published generation 2")
	if out := x.must("get"); strings.Contains(out, `"b"`) {
		t.Errorf("pruned object is still there: %s", out)
	}
	expectText(t, x.must("get", "vm/a"), `{"kind":"vm","name":"a","spec":{"state":"active"}}`)
	if _, err := x.run("get", "team"); err == nil {
		t.Error("a kind without objects was found")
	}
}

// Guards against a rebase that loses a racing change, and a race that goes unnoticed without it.
func TestApplyRaces(t *testing.T) {
	x := newTool(t)
	x.must("apply", x.file("base.json", `{"objects":[{"kind":"vm","name":"a","spec":{}},{"kind":"vm","name":"b","spec":{}}]}`))
	mine := x.file("mine.json", vmFile("a", "draining"))
	race := func(name, state string) {
		x.backend.before = func() {
			gen, set, _ := x.backend.publisher.Head(t.Context())
			set.VMs[name] = &object.VM{Name: name, State: object.State(state)}
			_, _ = x.backend.publisher.Publish(t.Context(), gen, set)
		}
	}
	race("b", "draining")
	if _, err := x.run("apply", mine); err == nil || exitCode(err) != exitConflict {
		t.Fatalf("got %v", err)
	}
	race("c", "active")
	expectText(t, x.must("apply", "--rebase", mine), "published generation 4")
	expectText(t, x.must("get"), `"a","spec":{"state":"draining"}`, `"b","spec":{"state":"draining"}`, `"c"`)
	x.must("drain", "--undo", "vm/a")
	race("a", "draining")
	x.backend.publisher = publish.NewPublisher(x.backend.store, func() bool { return true })
	_, err := x.run("apply", "--rebase", x.file("gone.json", `{"objects":[{"kind":"vm","name":"d","spec":{}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	expectText(t, x.must("get"), `"a","spec":{"state":"draining"}`, `"d"`)
}

// Guards against a change on an old base that overwrites what was published since.
func TestApplyOnBaseFile(t *testing.T) {
	x := newTool(t)
	x.must("apply", x.file("a.json", vmFile("a", "active")))
	base := x.file("base.json", x.must("get"))
	x.must("apply", x.file("b.json", vmFile("b", "active")))
	mine := x.file("mine.json", vmFile("a", "draining"))
	if _, err := x.run("apply", "--base", base, mine); exitCode(err) != exitConflict {
		t.Fatalf("without rebase: %v", err)
	}
	expectText(t, x.must("apply", "--base", base, "--rebase", mine), "published generation 3")
	expectText(t, x.must("get"), `"b"`)
	other := x.file("other.json", `{"objects":[{"kind":"vm","name":"b","spec":{"state":"draining"}}]}`)
	_, err := x.run("apply", "--base", base, "--rebase", other)
	if exitCode(err) != exitConflict || !strings.Contains(err.Error(), "vm/b") {
		t.Fatalf("same object: %v", err)
	}
}

// Guards against faulty files that reach the store, and findings without their file.
func TestFindings(t *testing.T) {
	x := newTool(t)
	bad := x.file("bad.json", `{"objects":[{"kind":"version","name":"v","spec":{"model":"m","weights":"w"}}]}`)
	for _, command := range []string{"validate", "apply"} {
		_, err := x.run(command, bad)
		if exitCode(err) != exitFindings || !strings.Contains(err.Error(), `bad.json: version/v: spec.model: model "m" does not exist`) {
			t.Errorf("%s: %v", command, err)
		}
	}
	if keys := x.backend.store.Keys(); len(keys) != 0 {
		t.Errorf("written: %v", keys)
	}
}

// Guards against a drain that changes more than the state, or accepts what cannot be drained.
func TestDrain(t *testing.T) {
	x := newTool(t)
	x.must("apply", x.file("all.json", `{"objects":[
{"kind":"failure-domain","name":"f","spec":{}},
{"kind":"service","name":"s","spec":{}},
{"kind":"backend-server","name":"b","spec":{"kind":"service","service":"s","address":"10.0.0.1:1","failure_domain":"f","slots":3}}]}`))
	x.must("drain", "backend-server/b")
	expectText(t, x.must("get", "backend-server/b"), `"slots":3,"state":"draining"`)
	x.must("drain", "--undo", "backend-server/b")
	expectText(t, x.must("get", "backend-server/b"), `"state":"active"`)
	x.must("drain", "vm/r1")
	expectText(t, x.must("get", "vm/r1"), `"state":"draining"`)
	for _, name := range []string{"backend-server/none", "service/s", "b", ""} {
		if _, err := x.run("drain", name); err == nil {
			t.Errorf("drain %q succeeded", name)
		}
	}
}

// Guards against an uncertain publish that the tool reports as failed or done.
func TestUncertain(t *testing.T) {
	x := newTool(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	x.backend.store.Inject(func(op kv.Op, key string) kv.Fault {
		if op == kv.OpCompareAndSwap && key == publish.HeadKey {
			x.backend.store.SetOutage(true)
			cancel()
			return kv.Fault{Kind: kv.FaultLostLate}
		}
		return kv.Fault{}
	})
	root := newRoot()
	root.Writer = &bytes.Buffer{}
	a := x.file("a.json", vmFile("a", "active"))
	err := root.Run(ctx, []string{"gooseberrytide", "--router", x.router, "--token", token, "apply", a})
	if exitCode(err) != exitUncertain {
		t.Fatalf("got %v", err)
	}
}

// Guards against tokens that are not checked, and a timeline that hides missing routers.
func TestTimelineAndToken(t *testing.T) {
	x := newTool(t)
	expectText(t, x.must("timeline", "--request", "r1-1-1", "--since", "6"), "grant  request=r1-1-1", "missing from r3")
	expectText(t, x.must("timeline", "--json", "--since", "6"), `"seq":7`, `"note":"events are missing from r3"`)
	var status *adminhttp.StatusError
	_, err := adminhttp.NewClient(x.router, "wrong").Status(t.Context())
	if !errors.As(err, &status) || status.Status != 401 {
		t.Fatalf("got %v", err)
	}
}

// Guards against a follow that repeats events, or stays silent after the router restarted.
func TestFollowAcrossRestart(t *testing.T) {
	var out bytes.Buffer
	p := newEventPrinter(&out, false)
	event := func(seq uint64, kind string) admin.Event {
		return admin.Event{Seq: seq, Router: "r1", Kind: kind, Time: time.Unix(int64(len(kind)), 0)}
	}
	p.print(admin.Timeline{Router: "r1", Last: 9, Events: []admin.Event{event(9, "a")}})
	p.print(admin.Timeline{Router: "r1", Last: 9, Events: []admin.Event{event(9, "a")}})
	p.print(admin.Timeline{Router: "r1", Last: 2})
	if p.last != 0 {
		t.Errorf("next read starts after %d", p.last)
	}
	p.print(admin.Timeline{Router: "r1", Last: 2, Events: []admin.Event{event(2, "bb")}})
	if got := strings.Count(out.String(), "\n"); got != 2 {
		t.Errorf("%d lines: %s", got, out.String())
	}
}

// Guards against a status that buries what is wrong below healthy rows.
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
