package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/test/standin/vmlist"
)

// pollPeriod is the interval between two checks of a condition.
const pollPeriod = 50 * time.Millisecond

// Client is the HTTP client of all test programs. It keeps connections open.
var Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxIdleConns: 4096}}

// StatusError is an HTTP response with a status other than 2xx.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

// Error returns the URL, the status and the body of the response.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.URL, e.Status, e.Body)
}

// Do sends body as JSON with the operators' token and decodes the response into answer. Without a body it sends none,
// and without an answer it ignores the response body. Errors: *StatusError, failures to connect, encode or decode.
func Do(ctx context.Context, method, url string, body, answer any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+OperatorToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := Client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode/100 != 2 {
		return &StatusError{URL: url, Status: resp.StatusCode, Body: string(data)}
	}
	if answer == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(data, answer), "answer of %s", url)
}

// PublishVMs writes the started routers to the VM lists. With Options.Isolated each list names one router.
func (f *Fleet) PublishVMs(ctx context.Context) error {
	var all []vmlist.VM
	for _, r := range f.Routers {
		all = append(all, vmlist.VM{
			ID:            r.ID,
			PeerAddress:   r.PeerAddress,
			CallerAddress: r.CallerAddress,
			FailureDomain: r.Domain,
			State:         vmlist.StateLive,
		})
	}
	for n, url := range f.VMListURLs {
		list := all
		if f.Options.Isolated {
			list = all[n : n+1]
		}
		if err := Do(ctx, http.MethodPost, url+"/admin/vms", vmlist.List{VMs: list}, nil); err != nil {
			return err
		}
	}
	return nil
}

// publish publishes the first configuration, and retries until it is accepted.
func (f *Fleet) publish(ctx context.Context) error {
	return Await(ctx, readyTimeout, "publish", func() error {
		_, err := f.Apply(ctx, 0)
		return err
	})
}

// Apply publishes the fleet's set on top of the base generation at the first router, and returns the new generation.
func (f *Fleet) Apply(ctx context.Context, base ident.Generation) (ident.Generation, error) {
	objects, err := object.EncodeList(f.Set)
	if err != nil {
		return 0, err
	}
	var resp admin.ApplyResponse
	url := "http://" + f.Routers[0].CallerAddress + "/v1/admin/config"
	err = Do(ctx, http.MethodPost, url, admin.ApplyRequest{Base: base, Objects: objects}, &resp)
	return resp.Generation, err
}

// Status returns a router's status.
func (r *Router) Status(ctx context.Context) (admin.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	var status admin.Status
	err := Do(ctx, http.MethodGet, "http://"+r.CallerAddress+"/v1/admin/status", nil, &status)
	return status, err
}

// AwaitMembers waits until each router reports all routers as alive.
func (f *Fleet) AwaitMembers(ctx context.Context) error {
	for _, r := range f.Routers {
		err := Await(ctx, readyTimeout, r.ID+" sees all routers", func() error {
			status, err := r.Status(ctx)
			if err != nil {
				return err
			}
			return checkAlive(status, len(f.Routers))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func checkAlive(status admin.Status, want int) error {
	alive := 0
	for _, m := range status.Members {
		if m.State == admin.StateAlive {
			alive++
		}
	}
	if alive < want {
		return errors.Errorf("%d routers alive, want %d", alive, want)
	}
	return nil
}

// AwaitServing waits until all routers serve and know each other as members. With Options.Isolated a router needs to
// know only itself.
func (f *Fleet) AwaitServing(ctx context.Context) error {
	want := len(f.Routers)
	if f.Options.Isolated {
		want = 1
	}
	for _, r := range f.Routers {
		err := AwaitProcess(ctx, r.Process, readyTimeout, r.ID+" serves", func() error {
			status, err := r.Status(ctx)
			if err != nil {
				return err
			}
			if !status.Serving || len(status.Members) < want {
				return errors.Errorf("serving %t with %d members", status.Serving, len(status.Members))
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// AwaitProcess is like Await, for a condition that only a running process can meet. It fails with the exit state once
// the process has ended.
func AwaitProcess(ctx context.Context, p *Process, timeout time.Duration, condition string, check func() error) error {
	return await(ctx, p.done, timeout, condition, func() error {
		if p.Ended() {
			return errors.Errorf("process %d has ended: %s", p.PID(), p.ExitState())
		}
		return check()
	})
}

// Await repeats check until it succeeds. Errors: the last error of check when the timeout has passed, or the context's.
func Await(ctx context.Context, timeout time.Duration, condition string, check func() error) error {
	return await(ctx, nil, timeout, condition, check)
}

// await repeats check until it succeeds, the timeout has passed, the context ends, or ended is closed.
func await(
	ctx context.Context, ended <-chan struct{}, timeout time.Duration, condition string, check func() error,
) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ended:
			return errors.Wrap(err, condition)
		default:
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "%s: not within %v", condition, timeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollPeriod):
		}
	}
}
