package retry

import (
	"sync"
	"time"
)

// buckets is the number of parts of a window.
const buckets = 10

// WindowOptions bound second sends: in each window at most Ratio for each request, and Slack beyond.
type WindowOptions struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Window is a budget of second sends for each service over a sliding window. It is safe for concurrent use.
type Window struct {
	mu       sync.Mutex
	opts     WindowOptions
	services map[string]*windowCounts
}

// windowCounts are the requests and second sends of a service in the parts of the window.
type windowCounts struct {
	requests [buckets]int
	sends    [buckets]int
	// current is the number of the newest part since the beginning of time.
	current int64
}

// NewWindow returns a full budget.
func NewWindow(opts WindowOptions) *Window {
	return &Window{opts: opts, services: make(map[string]*windowCounts)}
}

// SetSlack changes the slack, for a router's part of the fleet's.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.opts.Slack = slack
}

// Request counts a request for a service.
func (w *Window) Request(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.at(now, service)
	c.requests[c.current%buckets]++
}

// Allow takes a second send out of the budget. It returns false when there is none left.
func (w *Window) Allow(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.at(now, service)
	if float64(sum(c.sends)+1) > w.opts.Ratio*float64(sum(c.requests))+w.opts.Slack {
		return false
	}
	c.sends[c.current%buckets]++
	return true
}

// at returns a service's counts with the parts that have left the window cleared.
func (w *Window) at(now time.Time, service string) *windowCounts {
	c := w.services[service]
	part := now.UnixNano() / int64(w.opts.Window/buckets)
	if c == nil {
		c = &windowCounts{current: part}
		w.services[service] = c
	}
	for n := 0; c.current < part && n < buckets; n++ {
		c.current++
		c.requests[c.current%buckets], c.sends[c.current%buckets] = 0, 0
	}
	c.current = max(c.current, part)
	return c
}

func sum(list [buckets]int) int {
	n := 0
	for _, v := range list {
		n += v
	}
	return n
}
