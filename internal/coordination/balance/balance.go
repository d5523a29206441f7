// Package balance spreads clients over the routers: it chooses the routers that clients are directed to, and decides
// when a router moves clients to others. Clients choose a router at random for each connection and keep the connection,
// so that a client with many requests can load one small router while others idle. A router whose request rate per core
// is well above the mean of the fleet therefore closes connections after an answer; the client's next connection goes
// to another router.
package balance

import "time"

const (
	// overloadFactor is the ratio to the fleet's mean request rate per core above which a router moves clients.
	overloadFactor = 1.4
	// rateWindow is the time constant of a rate.
	rateWindow = time.Second
)

// Rate measures the rate of requests over about the last second. It is not safe for concurrent use.
type Rate struct {
	count float64
	at    time.Time
}

// Add adds n requests.
func (r *Rate) Add(now time.Time, n float64) {
	r.count = r.PerSecond(now)*rateWindow.Seconds() + n
	r.at = now
}

// PerSecond returns the rate in requests per second.
func (r *Rate) PerSecond(now time.Time) float64 {
	age := now.Sub(r.at)
	if age < 0 || age >= 2*rateWindow {
		return 0
	}
	return r.count / rateWindow.Seconds() * (1 - age.Seconds()/(2*rateWindow.Seconds()))
}

// Load is the load of one router.
type Load struct {
	// Rate is in requests per second.
	Rate float64
	// Cores is the number of CPU cores that the router may use, often a fraction of one.
	Cores float64
}

// Overloaded reports whether a router should move clients to others.
func Overloaded(own Load, others []Load) bool {
	if own.Cores <= 0 || len(others) == 0 {
		return false
	}
	// A router whose CPU is not the bottleneck keeps its clients: a new connection would cost them more than it gains.
	if own.utilisation() < targetUtilisation {
		return false
	}
	total := own
	for _, other := range others {
		total.Rate += other.Rate
		total.Cores += other.Cores
	}
	return own.Rate/own.Cores > overloadFactor*total.Rate/total.Cores
}
