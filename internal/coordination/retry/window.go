package retry

import (
	"sync"
	"time"
)

// buckets is the number of parts of a window.
const buckets = 10

// Window is a budget of second sends for each service over a sliding window. It is safe for concurrent use.
type Window struct {
	mu     sync.Mutex
	length time.Duration
	// ratio is the number of second sends for each request, slack the number beyond them in each window.
	ratio, slack float64
	services     map[string]*windowCounts
}

// windowCounts are the requests and second sends of a service in the parts of the window.
type windowCounts struct {
	requests [buckets]int
	sends    [buckets]int
	// current is the number of the newest part since the beginning of time.
	current int64
}

// NewWindow returns a budget for windows of a length. It allows nothing before SetBounds.
func NewWindow(length time.Duration) *Window {
	return &Window{length: length, services: make(map[string]*windowCounts)}
}

// SetBounds changes the ratio and the slack.
func (w *Window) SetBounds(ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.slack = ratio, slack
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
	if float64(sum(c.sends)+1) > w.ratio*float64(sum(c.requests))+w.slack {
		return false
	}
	c.sends[c.current%buckets]++
	return true
}

// at returns a service's counts with the parts that have left the window cleared.
func (w *Window) at(now time.Time, service string) *windowCounts {
	c := w.services[service]
	part := now.UnixNano() / int64(w.length/buckets)
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
