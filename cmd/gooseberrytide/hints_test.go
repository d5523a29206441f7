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

// Guards against messages that do not name what the operator typed wrong.
func TestMistypedCommands(t *testing.T) {
	x := newTool(t)
	for text, args := range map[string][]string{
		`unknown command "aply"`: {"aply"},
		"name one object":        {"drain"},
		"1 finding\n":            {"validate", x.file("a.json", `{"objects":[{"kind":"vm","name":"a","spec":{"state":"off"}}]}`)},
	} {
		_, err := x.run(args...)
		if err == nil || !strings.Contains(err.Error(), text) {
			t.Errorf("%v: got %v, want %q", args, err, text)
		}
	}
}

// Guards against a misspelt VM that is drained without a word.
func TestDrainOfUnknownVM(t *testing.T) {
	x := newTool(t)
	expectText(t, x.must("drain", "vm/r99"), "published generation", "warning: no router is named r99")
	if out := x.must("drain", "vm/r1"); strings.Contains(out, "warning") {
		t.Errorf("warning for a known router: %q", out)
	}
}

// storeless is a router that does not reach the key-value service.
type storeless struct{ *backend }

func (s storeless) Config(ctx context.Context) (ident.Generation, *object.Set, bool, error) {
	gen, set, _, err := s.backend.Config(ctx)
	return gen, set, true, err
}

// Guards against a status without problems during an outage of the key-value service, or before the first publish.
func TestStatusOfStore(t *testing.T) {
	x := newTool(t)
	out := x.must("status")
	expectText(t, out, "router r1 has no configuration")
	if strings.Contains(out, "does not reach") {
		t.Errorf("problem with a healthy store: %q", out)
	}
	server := httptest.NewServer(adminhttp.NewHandler(adminhttp.Options{Backend: storeless{x.backend}, Token: token}))
	defer server.Close()
	x.router = server.URL
	expectText(t, x.must("status"), "router r1 does not reach the key-value service")
	expectText(t, x.must("status", "--json"), "router r1 does not reach the key-value service")
}

// silent is a router that has no events.
type silent struct{ *backend }

func (silent) Timeline(context.Context, admin.TimelineQuery) (admin.Timeline, error) {
	return admin.Timeline{Router: "r1"}, nil
}

// Guards against an empty answer that looks like a failed command when a request is not known.
func TestTimelineOfUnknownRequest(t *testing.T) {
	x := newTool(t)
	server := httptest.NewServer(adminhttp.NewHandler(adminhttp.Options{Backend: silent{x.backend}, Token: token}))
	defer server.Close()
	x.router = server.URL
	expectText(t, x.must("timeline", "--request", "r1-1-1"), "note: no router has events of request r1-1-1")
}
