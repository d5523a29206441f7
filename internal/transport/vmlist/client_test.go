package vmlist

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	standin "gooseberrytide.example/gooseberrytide/test/standin/vmlist"
)

// Guards against a client that confuses fields, and against a stand-in whose list does not lag.
func TestList(t *testing.T) {
	vm := standin.VM{
		ID: "r1", PeerAddress: "10.0.0.1:7000", CallerAddress: "10.0.0.1:80", FailureDomain: "a", State: "live",
	}
	list := standin.New(standin.Options{VMs: []standin.VM{vm}, Lag: time.Hour})
	server := httptest.NewServer(list)
	defer server.Close()
	client := New(Options{URL: server.URL, Timeout: time.Minute})
	want := VM{ID: "r1", PeerAddress: "10.0.0.1:7000", CallerAddress: "10.0.0.1:80", FailureDomain: "a", State: StateLive}
	list.Set(nil)
	vms, err := client.List(t.Context())
	if err != nil || len(vms) != 1 || vms[0] != want {
		t.Fatalf("got %v %v", vms, err)
	}
	list.SetLag(0)
	list.Set(nil)
	if vms, err := client.List(t.Context()); err != nil || len(vms) != 0 {
		t.Fatalf("empty list: %v %v", vms, err)
	}
	list.SetOutage(true)
	if _, err := client.List(t.Context()); err == nil {
		t.Fatal("no error during an outage")
	}
}

// Guards against a malformed response that replaces a valid list.
func TestMalformedList(t *testing.T) {
	good := `{"id":"r1","peer_address":"10.0.0.1:1","caller_address":"10.0.0.1:2","state":"live"}`
	for _, body := range []string{
		``, `{}`, `{"vms":null}`,
		`{"vms":[` + good + `,` + good + `]}`,
		`{"vms":[{"id":"","peer_address":"10.0.0.1:1","caller_address":"10.0.0.1:2","state":"live"}]}`,
		`{"vms":[{"id":"r1","peer_address":"host:1","caller_address":"10.0.0.1:2","state":"live"}]}`,
		`{"vms":[{"id":"r1","peer_address":"10.0.0.1:1","caller_address":"10.0.0.1:2","state":"gone"}]}`,
	} {
		if vms, err := decode(strings.NewReader(body)); err == nil {
			t.Errorf("%s: got %v", body, vms)
		}
	}
}
