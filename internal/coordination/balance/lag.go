package balance

import "time"

const (
	// lagGain weighs a new measurement of the lag.
	lagGain = 0.2
	// busyLag is the lag from which a router counts as busy, idleLag the one below which it does not any more. On an idle
	// processor a timer fires within a few milliseconds.
	busyLag = 60 * time.Millisecond
	idleLag = 15 * time.Millisecond
)

// Lag measures how late a process gets the processor. It is not safe for concurrent use.
type Lag struct {
	mean time.Duration
	busy bool
}

// Observe takes the time by which a timer fired late.
func (l *Lag) Observe(late time.Duration) {
	late = max(late, 0)
	l.mean += time.Duration(lagGain * float64(late-l.mean))
	switch {
	case l.mean > busyLag:
		l.busy = true
	case l.mean < idleLag:
		l.busy = false
	}
}

// Busy reports whether the process waits for the processor.
func (l *Lag) Busy() bool { return l.busy }
