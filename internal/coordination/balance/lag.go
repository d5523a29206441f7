package balance

import "time"

const (
	// lagSmoothing is the weight of a new measurement in the moving average of the lag.
	lagSmoothing = 0.2
	// A router is busy once its mean lag exceeds busyLag and until it falls below idleLag. On an idle CPU a timer fires
	// within a few milliseconds.
	busyLag = 60 * time.Millisecond
	idleLag = 15 * time.Millisecond
)

// Lag measures the scheduling delay of the process. It is not safe for concurrent use.
type Lag struct {
	mean time.Duration
	busy bool
}

// Observe adds a measurement: the time by which a timer fired late.
func (l *Lag) Observe(delay time.Duration) {
	delay = max(delay, 0)
	l.mean += time.Duration(lagSmoothing * float64(delay-l.mean))
	switch {
	case l.mean > busyLag:
		l.busy = true
	case l.mean < idleLag:
		l.busy = false
	}
}

// Busy reports whether the process lacks CPU time.
func (l *Lag) Busy() bool { return l.busy }
