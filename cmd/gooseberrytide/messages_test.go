package main

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
)

// Guards against error messages that do not name the operator's mistake.
func TestMistypedCommands(t *testing.T) {
	x := newTestTool(t)
	for text, args := range map[string][]string{
		`unknown command "aply"`: {"aply"},
		"name one object":        {"drain"},
		"1 finding\n": {
			"validate", x.writeFile("a.json", `{"objects":[{"kind":"vm","name":"a","spec":{"state":"off"}}]}`),
		},
	} {
		_, err := x.run(args...)
		if err == nil || !strings.Contains(err.Error(), text) {
			t.Errorf("%v: got %v, want %q", args, err, text)
		}
	}
}

// Guards against a misspelt VM name in drain that gives no warning.
func TestDrainOfUnknownVM(t *testing.T) {
	x := newTestTool(t)
	expectContains(t, x.mustRun("drain", "vm/r99"), "published generation", "warning: no router is named r99")
	if out := x.mustRun("drain", "vm/r1"); strings.Contains(out, "warning") {
		t.Errorf("warning for a known router: %q", out)
	}
}

// snapshotRouter is a router that does not reach the key-value service and returns its configuration in force.
type snapshotRouter struct{ *fakeRouter }

func (s snapshotRouter) Config(ctx context.Context) (ident.Generation, *object.Set, bool, error) {
	gen, set, _, err := s.fakeRouter.Config(ctx)
	return gen, set, true, err
}

// Guards against a status without problems during an outage of the key-value service or before the first publish.
func TestStatusOfStore(t *testing.T) {
	x := newTestTool(t)
	out := x.mustRun("status")
	expectContains(t, out, "router r1 has no configuration")
	if strings.Contains(out, "does not reach") {
		t.Errorf("problem with a healthy store: %q", out)
	}
	server := httptest.NewServer(adminhttp.NewHandler(adminhttp.Options{
		API: snapshotRouter{x.fakeRouter}, Token: token,
	}))
	defer server.Close()
	x.routerURL = server.URL
	expectContains(t, x.mustRun("status"), "router r1 does not reach the key-value service")
	expectContains(t, x.mustRun("status", "--json"), "router r1 does not reach the key-value service")
}

// emptyTimelineRouter is a router without events.
type emptyTimelineRouter struct{ *fakeRouter }

func (emptyTimelineRouter) Timeline(context.Context, admin.TimelineQuery) (admin.Timeline, error) {
	return admin.Timeline{Router: "r1"}, nil
}

// Guards against an unknown request for which the command prints nothing and seems to have failed.
func TestTimelineOfUnknownRequest(t *testing.T) {
	x := newTestTool(t)
	server := httptest.NewServer(adminhttp.NewHandler(adminhttp.Options{
		API: emptyTimelineRouter{x.fakeRouter}, Token: token,
	}))
	defer server.Close()
	x.routerURL = server.URL
	expectContains(t, x.mustRun("timeline", "--request", "r1-1-1"), "note: no router has events of request r1-1-1")
}
