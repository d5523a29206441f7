package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Parameters of the delays between the attempts of a request.
const (
	// InitialDelay is the mean delay before the first retry: a few round trips, enough to get a grant on another engine.
	InitialDelay = 50 * time.Millisecond
	// MaxDelay is the upper bound of the mean delay.
	MaxDelay = 2 * time.Second
	// Multiplier is the factor by which the mean delay grows with each retry.
	Multiplier = 2.0
	// Jitter is the maximum relative deviation from the mean. It spreads out the retries of requests that failed at the
	// same time.
	Jitter = 0.5
)

// Backoff computes the delays between the attempts of one request. It is not safe for concurrent use.
type Backoff struct {
	policy backoff.ExponentialBackOff
}

// NewBackoff returns the backoff of a new request.
func NewBackoff() *Backoff {
	b := &Backoff{policy: backoff.ExponentialBackOff{
		InitialInterval:     InitialDelay,
		RandomizationFactor: Jitter,
		Multiplier:          Multiplier,
		MaxInterval:         MaxDelay,
	}}
	b.policy.Reset()
	return b
}

// Next returns the delay before the next retry. It is never shorter than atLeast, which is the Retry-After of the last
// response, or 0.
func (b *Backoff) Next(atLeast time.Duration) time.Duration {
	return max(b.policy.NextBackOff(), atLeast)
}
