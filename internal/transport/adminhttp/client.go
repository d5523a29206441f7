package adminhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/transport/httplimits"
)

// clientTimeout bounds a call. A publish may take 10 s to find out the result of a store write without a response, and
// then waits for its confirmation.
const clientTimeout = 30 * time.Second

// Client calls the operator API of one router.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// StatusError is a response with a status other than 200.
type StatusError struct {
	Status int
	Body   admin.ErrorResponse
}

// Error returns the status and the router's message.
func (e *StatusError) Error() string {
	return strconv.Itoa(e.Status) + " " + http.StatusText(e.Status) + ": " + e.Body.Error
}

// NoResponseError reports that a request to publish received no valid response. The configuration may have been
// published.
type NoResponseError struct{ Cause error }

// Error returns the message of the cause after a prefix.
func (e *NoResponseError) Error() string { return "no valid response: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// NewClient returns a client. The router is an IP address and port, or a base URL; token is the operator token.
func NewClient(router, token string) *Client {
	if !strings.Contains(router, "://") {
		router = "http://" + router
	}
	return &Client{
		base:  strings.TrimRight(router, "/"),
		token: token,
		http: &http.Client{Timeout: clientTimeout, Transport: &http.Transport{
			MaxResponseHeaderBytes: httplimits.MaxResponseHeaderBytes,
		}},
	}
}

// Config returns the configuration and its generation.
func (c *Client) Config(ctx context.Context) (admin.Config, error) {
	var config admin.Config
	err := c.call(ctx, http.MethodGet, admin.PathConfig, nil, &config)
	return config, err
}

// Apply publishes a configuration. Errors are of type *StatusError or *NoResponseError.
func (c *Client) Apply(ctx context.Context, request admin.ApplyRequest) (admin.ApplyResponse, error) {
	var response admin.ApplyResponse
	err := c.call(ctx, http.MethodPost, admin.PathConfig, request, &response)
	var statusErr *StatusError
	if err != nil && !errors.As(err, &statusErr) {
		err = &NoResponseError{Cause: err}
	}
	return response, err
}

// Status returns the fleet as the router sees it.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	var status admin.Status
	err := c.call(ctx, http.MethodGet, admin.PathStatus, nil, &status)
	return status, err
}

// Timeline returns the events of the router's timeline that match the query.
func (c *Client) Timeline(ctx context.Context, q admin.TimelineQuery) (admin.Timeline, error) {
	values := url.Values{}
	values.Set("since", strconv.FormatUint(q.Since, 10))
	if q.Limit > 0 {
		values.Set("limit", strconv.Itoa(q.Limit))
	}
	if q.Request != "" {
		values.Set("request", q.Request)
	}
	var timeline admin.Timeline
	err := c.call(ctx, http.MethodGet, admin.PathTimeline+"?"+values.Encode(), nil, &timeline)
	return timeline, err
}

func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	body, err := encodeBody(request)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "call router")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, object.MaxFileBytes))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		return newStatusError(resp.StatusCode, data)
	}
	return errors.Wrap(json.Unmarshal(data, response), "decode response")
}

func encodeBody(request any) (io.Reader, error) {
	if request == nil {
		return nil, nil
	}
	data, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	return bytes.NewReader(data), nil
}

func newStatusError(status int, data []byte) error {
	statusErr := &StatusError{Status: status}
	if json.Unmarshal(data, &statusErr.Body) != nil || statusErr.Body.Error == "" {
		statusErr.Body.Error = strings.TrimSpace(string(data[:min(len(data), 200)]))
	}
	return statusErr
}

// Suspects returns the parts of prompts and the requests that a router on the users' platform suspects or blocks. The
// client's router is the metrics address.
func (c *Client) Suspects(ctx context.Context) ([]admin.Suspect, error) {
	var suspects []admin.Suspect
	err := c.call(ctx, http.MethodGet, admin.PathSuspects, nil, &suspects)
	return suspects, err
}

// Limits returns the limits of requests a second that backend servers name, as a router on the users' platform knows them.
// The client's router is the metrics address.
func (c *Client) Limits(ctx context.Context) ([]admin.Limit, error) {
	var limits []admin.Limit
	err := c.call(ctx, http.MethodGet, admin.PathLimits, nil, &limits)
	return limits, err
}

// Evacuations returns the evacuated failure domains as a router on the users' platform knows them. The client's router is
// the metrics address.
func (c *Client) Evacuations(ctx context.Context) ([]admin.Evacuation, error) {
	var list []admin.Evacuation
	err := c.call(ctx, http.MethodGet, admin.PathEvacuations, nil, &list)
	return list, err
}

// LiftSuspect ends the suspicion of a part or a request on all routers. Errors: a *StatusError with status 400 for an ID
// that is not valid, 404 for one that is not suspected.
func (c *Client) LiftSuspect(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, admin.PathSuspects+"/"+url.PathEscape(id), nil, &struct{}{})
}
