// Package balance decides when a router moves clients to others. Clients choose a router at random for each connection
// and keep it, so that a client with much to send can load one small router while others idle. A router whose share of
// the fleet's requests, measured against its share of the processors, is well above the mean ends connections after an
// answer; the client's next connection goes to another router.
package balance

import "time"

const (
	// excess is the factor over the mean from which a router moves clients.
	excess = 1.4
	// window is the time constant of a rate.
	window = time.Second
)

// Rate counts requests over the last second or so. It is not safe for concurrent use.
type Rate struct {
	count float64
	at    time.Time
}

// Add counts requests.
func (r *Rate) Add(now time.Time, n float64) {
	r.count = r.PerSecond(now)*window.Seconds() + n
	r.at = now
}

// PerSecond returns the rate.
func (r *Rate) PerSecond(now time.Time) float64 {
	age := now.Sub(r.at)
	if age < 0 || age >= 2*window {
		return 0
	}
	return r.count / window.Seconds() * (1 - age.Seconds()/(2*window.Seconds()))
}

// Load is the load of one router.
type Load struct {
	// Rate is in requests per second.
	Rate float64
	// Cores is the router's part of a processor.
	Cores float64
}

// Overloaded reports whether a router should move clients to the others.
func Overloaded(own Load, others []Load) bool {
	if own.Cores <= 0 || len(others) == 0 {
		return false
	}
	// A router whose processor is not the bottleneck keeps its clients: a new connection costs them more.
	if own.Rate*coresPerRequest < utilisation*own.Cores {
		return false
	}
	total := own
	for _, o := range others {
		total.Rate += o.Rate
		total.Cores += o.Cores
	}
	return own.Rate/own.Cores > excess*total.Rate/total.Cores
}
