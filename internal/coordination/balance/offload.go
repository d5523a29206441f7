package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// A router passes new connections on from startUtilisation of its CPU on, and stops below stopUtilisation.
	startUtilisation = 0.5
	stopUtilisation  = 0.25
	// roomUtilisation is the utilisation below which a router may take connections from others. It is below
	// targetUtilisation, because the loads of other routers are known some hundred milliseconds late.
	roomUtilisation = 0.6
)

// Offload decides when a router passes new connections on to other routers. Clients of some teams connect to one router
// whatever the directory names, so that a small router can get many times what its CPU can serve while others idle. It
// is not safe for concurrent use.
type Offload struct {
	active bool
}

// Update sets the router's load, connections that it passes on included, and reports whether it passes connections on.
func (o *Offload) Update(own Load) bool {
	switch {
	case own.utilisation() > startUtilisation:
		o.active = true
	case own.utilisation() < stopUtilisation:
		o.active = false
	}
	return o.active
}

// utilisation estimates the fraction of the router's CPU that its requests use. It is 0 if the number of cores is
// unknown.
func (l Load) utilisation() float64 {
	if l.Cores <= 0 {
		return 0
	}
	return l.Rate * coresPerRequest / l.Cores
}

// Targets holds the routers that may take connections from another one.
type Targets struct {
	// Near are in the same failure domain, Far in others. The directory names them.
	Near, Far []Candidate
	// Reserve are in the same failure domain and the directory does not name them. They are used if traffic between
	// domains is scarce.
	Reserve []Candidate
}

// ChooseTargets returns the routers that have room: those that the directory names and, if domainAware is set, the others of
// the same failure domain as a reserve.
func ChooseTargets(candidates []Candidate, domainAware bool) Targets {
	var t Targets
	available := sortedAvailable(candidates)
	named := requiredRouters(available, totalRate(candidates))
	for i, c := range available {
		load := Load{Rate: c.Rate, Cores: c.Cores}
		switch {
		case c.Busy || load.utilisation() >= roomUtilisation:
		case i < named && c.SameDomain:
			t.Near = append(t.Near, c)
		case i < named:
			t.Far = append(t.Far, c)
		case domainAware && c.SameDomain:
			t.Reserve = append(t.Reserve, c)
		}
	}
	return t
}

// Pick returns the less loaded of two random targets. It returns one of the reserve, and then one of another failure domain,
// only if behind is set, because this router's processor is behind and no near target has room: traffic between failure
// domains is slower and costs more. It returns false if there is none.
func (t Targets) Pick(behind bool) (Candidate, bool) {
	targets := t.Near
	if len(targets) == 0 && behind {
		targets = t.Reserve
	}
	if len(targets) == 0 && behind {
		targets = t.Far
	}
	if len(targets) == 0 {
		return Candidate{}, false
	}
	a, b := targets[rand.IntN(len(targets))], targets[rand.IntN(len(targets))]
	if b.Rate*a.Cores < a.Rate*b.Cores {
		return b, true
	}
	return a, true
}

const (
	// A router closes the callers' port if goroutines wait longer than pauseWait for the processor although it passes
	// connections on and refuses the rest. The pauses get longer until the wait falls below calmWait.
	pauseWait = 150 * time.Millisecond
	calmWait  = 60 * time.Millisecond
	minPause  = 200 * time.Millisecond
	// maxPause is short, because clients that always connect to this router cannot be told when to return.
	maxPause = time.Second
)

// AcceptPause decides for how long a router accepts no connections, because even refusing them takes more time than it
// has. It is not safe for concurrent use.
type AcceptPause struct {
	last time.Duration
}

// Next returns the length of the pause that begins now, or 0, for the time that goroutines wait for the processor.
func (p *AcceptPause) Next(wait time.Duration) time.Duration {
	if wait < calmWait {
		p.last = 0
	}
	if wait <= pauseWait {
		return 0
	}
	p.last = min(max(2*p.last, minPause), maxPause)
	return p.last
}
