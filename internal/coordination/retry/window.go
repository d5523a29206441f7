package retry

import (
	"sync"
	"time"
)

// bucketCount is the number of buckets that a window is divided into.
const bucketCount = 10

// WindowBudget is a retry budget for each service over a sliding window. It is safe for concurrent use.
type WindowBudget struct {
	mu     sync.Mutex
	length time.Duration
	// ratio is the number of retries allowed per request in the window; slack is the number of retries allowed in each
	// window in addition, to all routers together.
	ratio, slack float64
	// routers is the number of routers that share the slack. Each one has the same part: the pattern that uses it up, a
	// service that fails, reaches all routers at the same time.
	routers  int
	services map[string]*windowCounts
}

// windowCounts holds the numbers of requests and retries of a service in each bucket of the window.
type windowCounts struct {
	requests [bucketCount]int
	retries  [bucketCount]int
	// current is the number of the newest bucket, counted from the Unix epoch.
	current int64
}

// NewWindowBudget returns a budget over a sliding window of the given length. It allows no retries until SetBounds is
// called. The slack is for this router alone until SetRouters is called.
func NewWindowBudget(length time.Duration) *WindowBudget {
	return &WindowBudget{length: length, routers: 1, services: make(map[string]*windowCounts)}
}

// SetRouters sets the number of routers that share the slack, this one included.
func (w *WindowBudget) SetRouters(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.routers = max(n, 1)
}

// SetBounds sets the number of retries allowed per request and the number that all routers together are allowed in addition
// in each window.
func (w *WindowBudget) SetBounds(ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.slack = ratio, slack
}

// Deposit records a request to a service.
func (w *WindowBudget) Deposit(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.advance(now, service)
	c.requests[c.current%bucketCount]++
}

// Allow takes one retry out of a service's budget. It returns false when the budget is used up.
func (w *WindowBudget) Allow(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.advance(now, service)
	if !w.available(c) {
		return false
	}
	c.retries[c.current%bucketCount]++
	return true
}

// Available reports whether a service's budget allows a retry now, without taking one.
func (w *WindowBudget) Available(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.available(w.advance(now, service))
}

// available reports whether the counts allow a further retry. The caller holds mu.
func (w *WindowBudget) available(c *windowCounts) bool {
	return float64(sum(c.retries)+1) <= w.ratio*float64(sum(c.requests))+w.slack/float64(w.routers)
}

// advance moves a service's window to the current time and returns its counts. Buckets that have left the window are
// cleared.
func (w *WindowBudget) advance(now time.Time, service string) *windowCounts {
	c := w.services[service]
	bucket := now.UnixNano() / int64(w.length/bucketCount)
	if c == nil {
		c = &windowCounts{current: bucket}
		w.services[service] = c
	}
	for n := 0; c.current < bucket && n < bucketCount; n++ {
		c.current++
		c.requests[c.current%bucketCount], c.retries[c.current%bucketCount] = 0, 0
	}
	c.current = max(c.current, bucket)
	return c
}

func sum(counts [bucketCount]int) int {
	total := 0
	for _, v := range counts {
		total += v
	}
	return total
}
