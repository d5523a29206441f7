package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
)

func post(t *testing.T, url, id, key, fence string) (int, http.Header, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url+"/credit", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.GetBody = nil
	req.Header.Set(protocol.HeaderRequestID, id)
	req.Header.Set(protocol.HeaderIdempotencyKey, key)
	req.Header.Set(protocol.HeaderFence, fence)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, resp.Header, resp.Body.Close()
}

// Guards against wrong counts: other tests detect duplicate executions by them. Each fault must count as documented.
func TestCountsAndFaults(t *testing.T) {
	s := New(Options{CheckFencing: true})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	s.SetFaults(Faults{Drop: 1})
	if _, _, err := post(t, srv.URL, "r1", "k", "5"); err == nil {
		t.Fatal("dropped call got a response")
	}
	s.SetFaults(Faults{Refuse: 1})
	if status, header, _ := post(t, srv.URL, "r2", "k", "5"); status != 503 ||
		header.Get(protocol.HeaderNotRun) != "true" {
		t.Fatalf("refused call: status %d, header %v", status, header)
	}
	if status, _, _ := post(t, srv.URL, "r3", "k", "5"); status != 200 {
		t.Fatalf("call without fault: status %d, want 200", status)
	}
	if status, _, _ := post(t, srv.URL, "r4", "k", "4"); status != http.StatusPreconditionFailed {
		t.Fatalf("call with an old fencing number: status %d, want 412", status)
	}
	c := s.Counts()
	if c.ByKey["k"] != 2 || c.MaxByKey != 2 || c.ByRequest["r1"] != 1 || c.ByRequest["r2"] != 0 ||
		c.Refused != 1 || c.Stale != 1 {
		t.Fatalf("unexpected counts: %+v", c)
	}
}

// Guards against a deduplicating service that runs concurrent calls of one key more than once, or that does not return
// the answer to a repeated call after a dropped connection.
func TestDeduplication(t *testing.T) {
	s := New(Options{Deduplicate: true})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	s.SetFaults(Faults{Drop: 1})
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() { _, _, _ = post(t, srv.URL, "r", "k", "") })
	}
	calls.Wait()
	if status, _, err := post(t, srv.URL, "r", "k", ""); status != 200 || err != nil {
		t.Fatalf("repeated call: status %d, error %v", status, err)
	}
	if c := s.Counts(); c.ByKey["k"] != 1 || c.Repeated != 8 {
		t.Fatalf("unexpected counts: %+v", c)
	}
}
