package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/transport/httplimits"
)

// DefaultTimeout is the default time limit for reading the list.
const DefaultTimeout = 2 * time.Second

// maxResponseBytes bounds a response. A list of 400 VMs takes 60 KB.
const maxResponseBytes = 4 << 20

// State is the state of a VM in the list.
type State string

// The states of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is an entry VM that may run a router.
type VM struct {
	ID ident.RouterID `json:"id"`
	// PeerAddress is the IP address and port for other routers.
	PeerAddress string `json:"peer_address"`
	// CallerAddress is the IP address and port for callers.
	CallerAddress string         `json:"caller_address"`
	FailureDomain ident.DomainID `json:"failure_domain"`
	State         State          `json:"state"`
}

// Options configure a Client.
type Options struct {
	// URL is the list's base URL, as in http://10.0.0.8:8080.
	URL string
	// Timeout bounds one read; 0 means DefaultTimeout.
	Timeout time.Duration
	// Transport sends the requests; nil means a new transport that uses no proxy.
	Transport http.RoundTripper
}

// Client reads the list of VMs. It is safe for concurrent use.
type Client struct {
	url     string
	timeout time.Duration
	http    *http.Client
}

// New returns a client.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.Transport == nil {
		opts.Transport = &http.Transport{
			IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: httplimits.MaxResponseHeaderBytes,
		}
	}
	return &Client{
		url:     strings.TrimRight(opts.URL, "/") + "/v1/vms",
		timeout: opts.Timeout,
		http:    &http.Client{Transport: opts.Transport},
	}
}

// List reads the list. A response with malformed or duplicate entries is an error, so that an invalid list never
// replaces a valid one. An empty list is not an error.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "vmlist: create request")
	}
	resp, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "vmlist: read")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("vmlist: read: status %d", resp.StatusCode)
	}
	return decode(io.LimitReader(resp.Body, maxResponseBytes))
}

func decode(body io.Reader) ([]VM, error) {
	var list struct {
		VMs *[]VM `json:"vms"`
	}
	if err := json.NewDecoder(body).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "vmlist: decode")
	}
	if list.VMs == nil {
		return nil, errors.New("vmlist: decode: response has no list of VMs")
	}
	seen := make(map[ident.RouterID]bool, len(*list.VMs))
	for i, vm := range *list.VMs {
		if err := validate(vm); err != nil {
			return nil, errors.Wrapf(err, "vmlist: vms[%d]", i)
		}
		if seen[vm.ID] {
			return nil, errors.Errorf("vmlist: vms[%d]: %s is listed twice", i, vm.ID)
		}
		seen[vm.ID] = true
	}
	return *list.VMs, nil
}

func validate(vm VM) error {
	if vm.ID == "" {
		return errors.New("id is empty")
	}
	if vm.State != StateLive && vm.State != StateLeaving {
		return errors.Errorf("%s has unknown state %q", vm.ID, vm.State)
	}
	for _, address := range []string{vm.PeerAddress, vm.CallerAddress} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Errorf("%s has malformed address %q", vm.ID, address)
		}
	}
	return nil
}
