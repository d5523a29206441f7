package serverspeed

import "time"

const (
	// usualPace is the announced pace at which work takes as long as usual.
	usualPace = 100
	// Bounds of the trusted pace. The lower one bounds the advantage that a false pace gives a server.
	minTrustedPace = 0.8
	maxTrustedPace = 10.0
	// paceLifetime is the time in which an announced pace decays linearly to the server's mean pace. Paces change many
	// times a second.
	paceLifetime = 600 * time.Millisecond
	// meanPaceWindow is the time constant of a server's mean pace. One announcement counts for at most
	// maxMeanPaceWeight, however long no other one came.
	meanPaceWindow    = 5 * time.Second
	maxMeanPaceWeight = 0.2
	// loadLifetime is how long an announced load counts.
	loadLifetime = 300 * time.Millisecond
)

// Announcement is what a response says about the load and the pace of its server. The zero value means that it says
// nothing.
type Announcement struct {
	// Running and Waiting are the requests of all routers at the server.
	Running, Waiting int
	Slots            int
	// Pace is the time that work takes, in percent of the usual time. 0 means that the server does not announce it.
	Pace int
}

// trustedPace returns the announced pace within the bounds of trust, relative to the usual one.
func trustedPace(percent int) float64 {
	return min(max(float64(percent)/usualPace, minTrustedPace), maxTrustedPace)
}

// pace is the pace of a server as announced.
type pace struct {
	known      bool
	last, mean float64
	at         time.Duration
}

// announce records a pace and the time of its receipt.
func (p *pace) announce(now time.Duration, percent int) {
	trusted := trustedPace(percent)
	weight := maxMeanPaceWeight
	if p.known {
		weight = min((now-p.at).Seconds()/meanPaceWindow.Seconds(), maxMeanPaceWeight)
	} else {
		p.known, p.mean = true, 1
	}
	p.mean += max(weight, 0) * (trusted - p.mean)
	p.last, p.at = trusted, now
}

// current returns the pace at a time: the last one announced, which decays to the mean.
func (p *pace) current(now time.Duration) float64 {
	if !p.known {
		return 1
	}
	age := now - p.at
	if age >= paceLifetime {
		return p.mean
	}
	return p.mean + (p.last-p.mean)*(1-float64(max(age, 0))/float64(paceLifetime))
}

// longTerm returns the mean pace.
func (p *pace) longTerm() float64 {
	if !p.known {
		return 1
	}
	return p.mean
}

// announcedLoad is the number of requests at a server as announced.
type announcedLoad struct {
	requests int
	// own is the number of this router's requests at the server at the time of the announcement.
	own int
	at  time.Duration
	// trusted is set if the announced number is not below that of this router's own requests.
	trusted bool
}

// known reports whether the number of requests at the server is known.
func (l *announcedLoad) known(now time.Duration) bool { return l.trusted && now-l.at <= loadLifetime }
