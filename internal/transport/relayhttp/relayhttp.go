package relayhttp

import (
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
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// Path is the path of the call.
const Path = "/changes"

const (
	dialTimeout = 300 * time.Millisecond
	// maxAnswerBytes bounds an answer; a router keeps 4 MB of changes.
	maxAnswerBytes = 8 << 20
)

// Relayer answers other routers. *discovery.Follower implements it.
type Relayer interface {
	Relay(ctx context.Context, after kv.Revision, wait time.Duration) (discovery.Relayed, error)
}

// Handler serves changes to other routers.
type Handler struct {
	Relayer Relayer
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil || r.URL.Path != Path {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer, err := h.Relayer.Relay(r.Context(), kv.Revision(after), time.Duration(wait)*time.Millisecond)
	switch {
	case errors.Is(err, kv.ErrCompacted):
		w.WriteHeader(http.StatusGone)
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := cbor.Marshal(answer)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // the other router sees a broken answer
}

// Client asks other routers.
type Client struct {
	http *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         sockopt.Dial(dialTimeout),
		MaxIdleConnsPerHost: 1,
		DisableCompression:  true,
	}}}
}

// Changes asks a router for changes above a revision.
func (c *Client) Changes(ctx context.Context, address string, after kv.Revision, wait time.Duration) (discovery.Relayed, error) {
	query := url.Values{
		"after":   {strconv.FormatInt(int64(after), 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path+"?"+query.Encode(), nil)
	if err != nil {
		return discovery.Relayed{}, errors.Wrap(err, "relay: request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return discovery.Relayed{}, errors.Wrap(err, "relay")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return discovery.Relayed{}, errors.Wrap(err, "relay: read")
	}
	if resp.StatusCode != http.StatusOK {
		return discovery.Relayed{}, errors.Errorf("relay: status %d", resp.StatusCode)
	}
	var answer discovery.Relayed
	if err := cbor.Unmarshal(data, &answer); err != nil {
		return discovery.Relayed{}, errors.Wrap(err, "relay: decode")
	}
	return answer, nil
}
