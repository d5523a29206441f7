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

// stubAPI returns fixed values and records the arguments of calls.
type stubAPI struct {
	err     error
	applied *object.Set
	query   admin.TimelineQuery
}

func (s *stubAPI) Config(context.Context) (ident.Generation, *object.Set, bool, error) {
	set := object.NewSet()
	set.VMs["a"] = &object.VM{Name: "a", State: object.StateActive}
	return 3, set, true, s.err
}

func (s *stubAPI) Apply(_ context.Context, base ident.Generation, set *object.Set) (ident.Generation, error) {
	s.applied = set
	return base + 1, s.err
}

func (s *stubAPI) Status(context.Context) (admin.Status, error) {
	return admin.Status{Self: "r1"}, s.err
}

func (s *stubAPI) Timeline(_ context.Context, q admin.TimelineQuery) (admin.Timeline, error) {
	s.query = q
	return admin.Timeline{}, s.err
}

func startServer(t *testing.T, api admin.API, token string) string {
	server := httptest.NewServer(NewHandler(Options{API: api, Token: token}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against error responses that mislead operators about the next step.
func TestApplyErrors(t *testing.T) {
	id := object.ID{Kind: object.KindVM, Name: "a"}
	finding := object.Finding{Object: "vm/a", Field: "spec.state", Message: "wrong"}
	cases := map[string]struct {
		err    error
		status int
		want   admin.ErrorResponse
	}{
		"conflict": {&publish.ConflictError{Generation: 9, Objects: []object.ID{id}}, 409,
			admin.ErrorResponse{Generation: 9, Conflicts: []string{"vm/a"}}},
		"findings": {object.Findings{finding}, 422, admin.ErrorResponse{Findings: object.Findings{finding}}},
		"uncertain": {&publish.UncertainError{Generation: 4, Cause: kv.ErrUncertain}, 503,
			admin.ErrorResponse{Generation: 4, Uncertain: true}},
		"outage":    {pkgerrors.WithMessage(kv.ErrUnavailable, "head"), 503, admin.ErrorResponse{}},
		"no quorum": {publish.ErrNoQuorum, 503, admin.ErrorResponse{}},
		"fault":     {errors.New("unknown"), 500, admin.ErrorResponse{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			client := NewClient(startServer(t, &stubAPI{err: tc.err}, "t"), "t")
			_, err := client.Apply(t.Context(), admin.ApplyRequest{Objects: nil})
			var statusErr *StatusError
			if !errors.As(err, &statusErr) || statusErr.Status != 400 {
				t.Fatalf("body without objects: got %v, want status 400", err)
			}
			body, _ := object.EncodeList(object.NewSet())
			_, err = client.Apply(t.Context(), admin.ApplyRequest{Objects: body})
			if !errors.As(err, &statusErr) || statusErr.Status != tc.status || statusErr.Body.Error == "" {
				t.Fatalf("got %v", err)
			}
			statusErr.Body.Error = ""
			if !reflect.DeepEqual(statusErr.Body, tc.want) {
				t.Errorf("got %+v", statusErr.Body)
			}
		})
	}
}

// Guards against an unconfirmed publish that is reported as confirmed or failed.
func TestUnconfirmed(t *testing.T) {
	client := NewClient(startServer(t, &stubAPI{err: publish.ErrUnconfirmed}, "t"), "t")
	list, _ := object.EncodeList(object.NewSet())
	response, err := client.Apply(t.Context(), admin.ApplyRequest{Base: 5, Objects: list})
	if err != nil || response.Generation != 6 || !response.Unconfirmed {
		t.Fatalf("got %+v %v", response, err)
	}
}

// Guards against treating a publish without a response as refused.
func TestNoResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(
		func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	))
	defer server.Close()
	var noResponse *NoResponseError
	if _, err := NewClient(server.URL, "t").Apply(t.Context(), admin.ApplyRequest{}); !errors.As(err, &noResponse) {
		t.Fatalf("got %v", err)
	}
}

// Guards against endpoints that accept requests without the token, with an empty one, or with a prefix of it.
func TestToken(t *testing.T) {
	for _, tc := range []struct{ token, header string }{
		{"secret", ""}, {"secret", "Bearer "}, {"secret", "Bearer secre"}, {"secret", "secret"},
		{"secret", "Bearer secret2"}, {"", "Bearer "}, {"", ""},
	} {
		url := startServer(t, &stubAPI{}, tc.token)
		for _, path := range []string{admin.PathConfig, admin.PathStatus, admin.PathTimeline} {
			request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, url+path, nil)
			request.Header.Set("Authorization", tc.header)
			resp, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusUnauthorized {
				t.Errorf("%s with %q: status %d", path, tc.header, resp.StatusCode)
			}
		}
	}
}

// Guards against fields that are lost between client and handler, and against timelines of unlimited length.
func TestRoundTrip(t *testing.T) {
	api := &stubAPI{}
	client := NewClient(startServer(t, api, "t"), "t")
	config, err := client.Config(t.Context())
	if err != nil || config.Generation != 3 || !config.FromSnapshot ||
		!strings.Contains(string(config.Objects[0]), `"a"`) {
		t.Fatalf("got %+v %v", config, err)
	}
	if _, err := client.Apply(t.Context(), admin.ApplyRequest{Objects: config.Objects}); err != nil ||
		api.applied.VMs["a"] == nil {
		t.Fatalf("applied %v: %v", api.applied, err)
	}
	if _, err := client.Timeline(t.Context(), admin.TimelineQuery{Since: 7, Limit: 1 << 20, Request: "r 1"}); err != nil {
		t.Fatal(err)
	}
	if want := (admin.TimelineQuery{Since: 7, Limit: admin.MaxTimelineLimit, Request: "r 1"}); api.query != want {
		t.Errorf("query %+v", api.query)
	}
}
