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

// pollPeriod is the wait between two looks at a condition.
const pollPeriod = 50 * time.Millisecond

// Client is used for all calls of drivers.
var Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxIdleConns: 4096}}

// StatusError is an answer with a status other than 2xx.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

// Error describes the answer.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.URL, e.Status, e.Body)
}

// Do sends a JSON request with the operators' token and decodes the answer. Errors: *StatusError and
// errors of the connection.
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

// PublishVMs sets the VM list to the routers that were started.
func (f *Fleet) PublishVMs(ctx context.Context) error {
	var all []vmlist.VM
	for _, r := range f.Routers {
		all = append(all, vmlist.VM{
			ID:            r.ID,
			PeerAddress:   r.Peer,
			CallerAddress: r.Caller,
			FailureDomain: r.Domain,
			State:         vmlist.StateLive,
		})
	}
	for n, url := range f.VMURLs {
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

// publish publishes the first configuration.
func (f *Fleet) publish(ctx context.Context) error {
	return Await(ctx, readyLimit, "publish", func() error {
		_, err := f.Apply(ctx, 0)
		return err
	})
}

// Apply publishes the fleet's set over the base generation at the first router.
func (f *Fleet) Apply(ctx context.Context, base ident.Generation) (ident.Generation, error) {
	objects, err := object.EncodeList(f.Set)
	if err != nil {
		return 0, err
	}
	var resp admin.ApplyResponse
	url := "http://" + f.Routers[0].Caller + "/v1/admin/config"
	err = Do(ctx, http.MethodPost, url, admin.ApplyRequest{Base: base, Objects: objects}, &resp)
	return resp.Generation, err
}

// Status returns a router's status.
func (r *Router) Status(ctx context.Context) (admin.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	var status admin.Status
	err := Do(ctx, http.MethodGet, "http://"+r.Caller+"/v1/admin/status", nil, &status)
	return status, err
}

// AwaitMembers waits until each router sees all routers as alive.
func (f *Fleet) AwaitMembers(ctx context.Context) error {
	for _, r := range f.Routers {
		err := Await(ctx, readyLimit, r.ID+" sees all routers", func() error {
			status, err := r.Status(ctx)
			if err != nil {
				return err
			}
			return allAlive(status, len(f.Routers))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func allAlive(status admin.Status, want int) error {
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

// AwaitServing waits until all routers serve and see each other.
func (f *Fleet) AwaitServing(ctx context.Context) error {
	want := len(f.Routers)
	if f.Options.Isolated {
		want = 1
	}
	for _, r := range f.Routers {
		err := AwaitProcess(ctx, r.Process, readyLimit, r.ID+" serves", func() error {
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

// AwaitProcess is Await for a condition that only a running process fulfils. It fails with the exit state once the
// process has ended.
func AwaitProcess(ctx context.Context, p *Process, limit time.Duration, what string, check func() error) error {
	return await(ctx, p.done, limit, what, func() error {
		if p.Ended() {
			return errors.Errorf("process %d has ended: %s", p.PID(), p.ExitState())
		}
		return check()
	})
}

// Await repeats a check until it passes or the limit is over.
func Await(ctx context.Context, limit time.Duration, what string, check func() error) error {
	return await(ctx, nil, limit, what, check)
}

// await repeats a check until it passes, the limit is over, or ended is closed.
func await(ctx context.Context, ended <-chan struct{}, limit time.Duration, what string, check func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ended:
			return errors.Wrap(err, what)
		default:
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "%s: not within %v", what, limit)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollPeriod):
		}
	}
}
