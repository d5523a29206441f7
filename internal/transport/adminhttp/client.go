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
)

// clientTimeout bounds a call. A publish may settle a lost answer for 10 s and wait for its confirmation.
const clientTimeout = 30 * time.Second

// Client calls the operator's endpoints of one router.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// StatusError is an answer with another status than 200.
type StatusError struct {
	Status int
	Body   admin.ErrorResponse
}

// Error returns the status and the router's message.
func (e *StatusError) Error() string {
	return strconv.Itoa(e.Status) + " " + http.StatusText(e.Status) + ": " + e.Body.Error
}

// LostError reports that a request to publish has no answer. The configuration may have been published.
type LostError struct{ Cause error }

// Error returns the cause.
func (e *LostError) Error() string { return "no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// NewClient returns a client. Router is an IP address and port, or a base URL.
func NewClient(router, token string) *Client {
	if !strings.Contains(router, "://") {
		router = "http://" + router
	}
	return &Client{
		base:  strings.TrimRight(router, "/"),
		token: token,
		http:  &http.Client{Timeout: clientTimeout, Transport: &http.Transport{}},
	}
}

// Config returns the configuration.
func (c *Client) Config(ctx context.Context) (admin.Config, error) {
	var config admin.Config
	err := c.call(ctx, http.MethodGet, admin.PathConfig, nil, &config)
	return config, err
}

// Apply publishes a configuration. Errors: *StatusError, *LostError.
func (c *Client) Apply(ctx context.Context, request admin.ApplyRequest) (admin.ApplyResponse, error) {
	var response admin.ApplyResponse
	err := c.call(ctx, http.MethodPost, admin.PathConfig, request, &response)
	var status *StatusError
	if err != nil && !errors.As(err, &status) {
		err = &LostError{Cause: err}
	}
	return response, err
}

// Status returns the fleet as the router sees it.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	var status admin.Status
	err := c.call(ctx, http.MethodGet, admin.PathStatus, nil, &status)
	return status, err
}

// Timeline returns events.
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
	call, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	call.Header.Set("Authorization", "Bearer "+c.token)
	call.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(call)
	if err != nil {
		return errors.Wrap(err, "call router")
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, object.MaxFileBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if answer.StatusCode != http.StatusOK {
		return statusError(answer.StatusCode, data)
	}
	return errors.Wrap(json.Unmarshal(data, response), "decode answer")
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

func statusError(status int, data []byte) error {
	failure := &StatusError{Status: status}
	if json.Unmarshal(data, &failure.Body) != nil || failure.Body.Error == "" {
		failure.Body.Error = strings.TrimSpace(string(data[:min(len(data), 200)]))
	}
	return failure
}
