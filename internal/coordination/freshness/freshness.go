package freshness

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed start. It must be monotonic and include the time during which the VM is
// suspended.
type Clock func() time.Duration

// BootTime is the Clock of the operating system. It is independent of the time of day, which may jump.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Since(processStart))
	}
	return time.Duration(ts.Nano())
}

// processStart is the start of the clock on systems without CLOCK_BOOTTIME.
var processStart = time.Now()

// Proof holds the time at which the router's state was last confirmed to be the store's. It is safe for concurrent use.
type Proof struct {
	clock Clock
	// at is the time of the clock in nanoseconds; 0 means that no state is confirmed yet.
	at atomic.Int64
}

// NewProof returns a proof without a confirmed state.
func NewProof(clock Clock) *Proof { return &Proof{clock: clock} }

// Now returns the current time of the proof's clock. Call it before a read is sent to the store: the answer then shows
// the state of that time or later.
func (p *Proof) Now() time.Duration { return p.clock() }

// Confirm records that the state in force at the router was the store's state at the given time. A time that is not
// newer than the recorded one is ignored.
func (p *Proof) Confirm(at time.Duration) {
	for {
		current := p.at.Load()
		if int64(at) <= current {
			return
		}
		if p.at.CompareAndSwap(current, int64(at)) {
			return
		}
	}
}

// Age returns the time since the state was last confirmed. The second result is false if no state is confirmed yet.
func (p *Proof) Age() (time.Duration, bool) {
	at := p.at.Load()
	if at == 0 {
		return 0, false
	}
	return p.clock() - time.Duration(at), true
}

// Within reports whether the state was confirmed no longer than limit ago.
func (p *Proof) Within(limit time.Duration) bool {
	age, ok := p.Age()
	return ok && age <= limit
}
