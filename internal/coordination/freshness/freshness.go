package freshness

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns a time that also runs while the VM is suspended, and never goes back.
type Clock func() time.Duration

// BootTime is the Clock of the operating system. It does not follow the time of day, which may jump.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Since(processStart))
	}
	return time.Duration(ts.Nano())
}

// processStart is the zero of the clock on systems without CLOCK_BOOTTIME.
var processStart = time.Now()

// Proof is the time of the newest confirmed state. It is safe for concurrent use.
type Proof struct {
	clock Clock
	// at is the time in nanoseconds; 0 means that nothing was confirmed yet.
	at atomic.Int64
}

// NewProof returns a proof that nothing has confirmed yet.
func NewProof(clock Clock) *Proof { return &Proof{clock: clock} }

// Now returns the proof's time. Take it before a read of the store is sent: the answer then shows the state of that
// moment or a later one.
func (p *Proof) Now() time.Duration { return p.clock() }

// Confirm records that the state that the router has in force was the store's at the given time. Older times are
// ignored.
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

// Age returns the time since the confirmed state. The second result is false when nothing was confirmed yet.
func (p *Proof) Age() (time.Duration, bool) {
	at := p.at.Load()
	if at == 0 {
		return 0, false
	}
	return p.clock() - time.Duration(at), true
}

// Within reports whether the confirmed state is at most limit old.
func (p *Proof) Within(limit time.Duration) bool {
	age, ok := p.Age()
	return ok && age <= limit
}
