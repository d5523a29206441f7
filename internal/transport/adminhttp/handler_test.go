package adminhttp

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	pkgerrors "github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/publish"
	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// fixed answers with fixed values and records what it was asked.
type fixed struct {
	err     error
	applied *object.Set
	query   admin.TimelineQuery
}

func (f *fixed) Config(context.Context) (ident.Generation, *object.Set, bool, error) {
	set := object.NewSet()
	set.VMs["a"] = &object.VM{Name: "a", State: object.StateActive}
	return 3, set, true, f.err
}

func (f *fixed) Apply(_ context.Context, base ident.Generation, set *object.Set) (ident.Generation, error) {
	f.applied = set
	return base + 1, f.err
}

func (f *fixed) Status(context.Context) (admin.Status, error) { return admin.Status{Self: "r1"}, f.err }

func (f *fixed) Timeline(_ context.Context, q admin.TimelineQuery) (admin.Timeline, error) {
	f.query = q
	return admin.Timeline{}, f.err
}

func serve(t *testing.T, backend admin.API, token string) string {
	server := httptest.NewServer(NewHandler(Options{Backend: backend, Token: token}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against errors that lead operators to a wrong next step.
func TestApplyErrors(t *testing.T) {
	id := object.ID{Kind: object.KindVM, Name: "a"}
	finding := object.Finding{Object: "vm/a", Field: "spec.state", Message: "wrong"}
	cases := map[string]struct {
		err    error
		status int
		want   admin.ErrorResponse
	}{
		"conflict":  {&publish.ConflictError{Generation: 9, Objects: []object.ID{id}}, 409, admin.ErrorResponse{Generation: 9, Conflicts: []string{"vm/a"}}},
		"findings":  {object.Findings{finding}, 422, admin.ErrorResponse{Findings: object.Findings{finding}}},
		"uncertain": {&publish.UncertainError{Generation: 4, Cause: kv.ErrUncertain}, 503, admin.ErrorResponse{Generation: 4, Uncertain: true}},
		"outage":    {pkgerrors.WithMessage(kv.ErrUnavailable, "head"), 503, admin.ErrorResponse{}},
		"no quorum": {publish.ErrNoQuorum, 503, admin.ErrorResponse{}},
		"fault":     {errors.New("unknown"), 500, admin.ErrorResponse{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			client := NewClient(serve(t, &fixed{err: tc.err}, "t"), "t")
			_, err := client.Apply(t.Context(), admin.ApplyRequest{Objects: nil})
			var status *StatusError
			if !errors.As(err, &status) || status.Status != 400 {
				t.Fatalf("a body without objects: %v", err)
			}
			body, _ := object.EncodeList(object.NewSet())
			_, err = client.Apply(t.Context(), admin.ApplyRequest{Objects: body})
			if !errors.As(err, &status) || status.Status != tc.status || status.Body.Error == "" {
				t.Fatalf("got %v", err)
			}
			status.Body.Error = ""
			if !reflect.DeepEqual(status.Body, tc.want) {
				t.Errorf("got %+v", status.Body)
			}
		})
	}
}

// Guards against an unconfirmed publish that looks confirmed or failed.
func TestUnconfirmed(t *testing.T) {
	client := NewClient(serve(t, &fixed{err: publish.ErrUnconfirmed}, "t"), "t")
	list, _ := object.EncodeList(object.NewSet())
	response, err := client.Apply(t.Context(), admin.ApplyRequest{Base: 5, Objects: list})
	if err != nil || response.Generation != 6 || !response.Unconfirmed {
		t.Fatalf("got %+v %v", response, err)
	}
}

// Guards against a lost answer to a publish that counts as a refusal.
func TestLostAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	var lost *LostError
	if _, err := NewClient(server.URL, "t").Apply(t.Context(), admin.ApplyRequest{}); !errors.As(err, &lost) {
		t.Fatalf("got %v", err)
	}
}

// Guards against endpoints that answer without the token, with an empty one, or with a prefix of it.
func TestToken(t *testing.T) {
	for _, tc := range []struct{ token, header string }{
		{"secret", ""}, {"secret", "Bearer "}, {"secret", "Bearer secre"}, {"secret", "secret"}, {"secret", "Bearer secret2"}, {"", "Bearer "}, {"", ""},
	} {
		url := serve(t, &fixed{}, tc.token)
		for _, path := range []string{admin.PathConfig, admin.PathStatus, admin.PathTimeline} {
			request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, url+path, nil)
			request.Header.Set("Authorization", tc.header)
			answer, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			answer.Body.Close()
			if answer.StatusCode != http.StatusUnauthorized {
				t.Errorf("%s with %q: status %d", path, tc.header, answer.StatusCode)
			}
		}
	}
}

// Guards against fields that are lost on the way, and unbounded timelines.
func TestRoundTrip(t *testing.T) {
	backend := &fixed{}
	client := NewClient(serve(t, backend, "t"), "t")
	config, err := client.Config(t.Context())
	if err != nil || config.Generation != 3 || !config.FromSnapshot || !strings.Contains(string(config.Objects[0]), `"a"`) {
		t.Fatalf("got %+v %v", config, err)
	}
	if _, err := client.Apply(t.Context(), admin.ApplyRequest{Objects: config.Objects}); err != nil || backend.applied.VMs["a"] == nil {
		t.Fatalf("applied %v: %v", backend.applied, err)
	}
	if _, err := client.Timeline(t.Context(), admin.TimelineQuery{Since: 7, Limit: 1 << 20, Request: "r 1"}); err != nil {
		t.Fatal(err)
	}
	if want := (admin.TimelineQuery{Since: 7, Limit: admin.MaxTimelineLimit, Request: "r 1"}); backend.query != want {
		t.Errorf("query %+v", backend.query)
	}
}
