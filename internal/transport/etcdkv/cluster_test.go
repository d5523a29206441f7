package etcdkv

import (
	"errors"
	"net/http"
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/test/standin/kvstore"
)

// holdingTransport holds the response of each call whose hold is set when it begins.
type holdingTransport struct {
	http.RoundTripper
	hold    chan struct{}
	arrived chan struct{}
}

func (h *holdingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	hold := h.hold
	resp, err := h.RoundTripper.RoundTrip(r)
	if hold != nil {
		close(h.arrived)
		<-hold
	}
	return resp, err
}

// Guards against a response from before a restore that arrives late: it would return data that the store no longer has,
// and its cluster would count as another restore.
func TestLateResponseFromBeforeARestoreIsDropped(t *testing.T) {
	for name, lateCall := range map[string]func(*testing.T, *Client) (error, error){
		"read": func(t *testing.T, c *Client) (got, want error) {
			_, err := c.Get(t.Context(), "k")
			return err, kv.ErrUnavailable
		},
		"write": func(t *testing.T, c *Client) (got, want error) {
			_, err := c.CompareAndSwap(t.Context(), "other", 0, nil)
			return err, kv.ErrUncertain
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, store := startClient(t, kvstore.Options{}, longTimeout)
			older := store.Copy()
			if _, err := c.CompareAndSwap(t.Context(), "k", 0, []byte("1")); err != nil {
				t.Fatal(err)
			}
			transport := &holdingTransport{
				RoundTripper: c.http.Transport, hold: make(chan struct{}), arrived: make(chan struct{}),
			}
			c.http.Transport = transport
			var got, want error
			done := make(chan struct{})
			go func() {
				defer close(done)
				got, want = lateCall(t, c)
			}()
			<-transport.arrived
			release := transport.hold
			transport.hold = nil
			store.Restore(older)
			if _, err := c.Get(t.Context(), "k"); !errors.Is(err, kv.ErrNotFound) {
				t.Fatal(err)
			}
			restored := c.ClusterID()
			close(release)
			<-done
			if !errors.Is(got, want) || c.ClusterID() != restored {
				t.Fatalf("error %v, want %v; cluster %q, want %q", got, want, c.ClusterID(), restored)
			}
		})
	}
}
