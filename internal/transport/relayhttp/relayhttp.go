package relayhttp

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/discovery"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/transport/httplimits"
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// Path is the URL path from which changes are read.
const Path = "/changes"

const (
	dialTimeout = 300 * time.Millisecond
	// maxResponseBytes bounds a response; a router keeps 4 MB of changes.
	maxResponseBytes = 8 << 20
)

// Relayer returns the changes after a position, and may wait for some. *discovery.Follower implements it.
type Relayer interface {
	Relay(ctx context.Context, after kv.Position, wait time.Duration) (discovery.Relayed, error)
}

// Handler is the HTTP handler that sends changes to other routers.
type Handler struct {
	Relayer Relayer
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	era, eraErr := strconv.ParseInt(cmp.Or(query.Get("era"), "0"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || eraErr != nil || waitErr != nil || r.URL.Path != Path {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	position := kv.Position{Era: kv.Era(era), Revision: kv.Revision(after)}
	changes, err := h.Relayer.Relay(r.Context(), position, time.Duration(wait)*time.Millisecond)
	switch {
	case errors.Is(err, kv.ErrCompacted):
		w.WriteHeader(http.StatusGone)
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := cbor.Marshal(changes)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // if this fails, the other router receives an incomplete response
}

// Client reads changes from other routers.
type Client struct {
	http *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:            sockopt.DialFunc(dialTimeout),
		MaxIdleConnsPerHost:    1,
		DisableCompression:     true,
		MaxResponseHeaderBytes: httplimits.MaxResponseHeaderBytes,
	}}}
}

// Changes reads the changes after a position from the router at an address. The router may wait up to the given time
// for changes.
func (c *Client) Changes(
	ctx context.Context, address string, after kv.Position, wait time.Duration,
) (discovery.Relayed, error) {
	query := url.Values{
		"after":   {strconv.FormatInt(int64(after.Revision), 10)},
		"era":     {strconv.FormatInt(int64(after.Era), 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path+"?"+query.Encode(), nil)
	if err != nil {
		return discovery.Relayed{}, errors.Wrap(err, "relay: create request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return discovery.Relayed{}, errors.Wrap(err, "relay")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return discovery.Relayed{}, errors.Wrap(err, "relay: read")
	}
	if resp.StatusCode != http.StatusOK {
		return discovery.Relayed{}, errors.Errorf("relay: status %d", resp.StatusCode)
	}
	var changes discovery.Relayed
	if err := cbor.Unmarshal(data, &changes); err != nil {
		return discovery.Relayed{}, errors.Wrap(err, "relay: decode")
	}
	return changes, nil
}
