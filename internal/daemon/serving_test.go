package daemon

import (
	"errors"
	"net/http"
	"testing"

	"gooseberrytide.example/gooseberrytide/test/standin/kvstore"
)

// A router that has no configuration cannot know a caller's key. It must say that it does not serve; it blamed the key,
// which callers take for a final refusal.
func TestRouterWithoutConfigurationDoesNotBlameTheKey(t *testing.T) {
	f := newTestFleet(t, 1)
	resp, body := f.post(f.daemons[0], "/v1/services/callout/engineers", "{}", nil)
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Gooseberrytide-Outcome") != "not-run" {
		t.Fatalf("status %d, header %v, body %s", resp.StatusCode, resp.Header, body)
	}
	if resp.Header.Get("Retry-After") == "" {
		t.Errorf("no Retry-After in %v", resp.Header)
	}
}

// A router whose configuration is stale must not answer from it: it said that a service does not exist which others
// may know, and claimed keys for calls that it then refused.
func TestStaleRouterDoesNotAnswerFromItsConfiguration(t *testing.T) {
	f := newTestFleet(t, 2)
	f.publish()
	f.awaitServing()
	f.store.SetFaults(kvstore.Faults{Outage: true})
	f.stops[1]()
	f.eventually("r1 stops serving", func() error {
		if f.daemons[0].ready() == nil {
			return errors.New("still serving")
		}
		return nil
	})
	for _, path := range []string{"/v1/services/unknown/route", "/v1/services/callout/engineers"} {
		resp, body := f.post(f.daemons[0], path, "{}", nil)
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Gooseberrytide-Outcome") != "not-run" {
			t.Errorf("%s: status %d, body %s", path, resp.StatusCode, body)
		}
	}
}
