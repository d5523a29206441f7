package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Waiting times between the attempts of a request.
const (
	// InitialDelay is the mean wait before the first retry: a few round trips, enough for a grant on another engine.
	InitialDelay = 50 * time.Millisecond
	// MaxDelay bounds the mean wait.
	MaxDelay = 2 * time.Second
	// Multiplier is the growth of the mean wait per retry.
	Multiplier = 2.0
	// Jitter is the relative deviation from the mean, so that requests that failed together return apart.
	Jitter = 0.5
)

// Backoff yields the waits between the attempts of one request. It is used by one goroutine.
type Backoff struct {
	policy backoff.ExponentialBackOff
}

// NewBackoff returns the waits of a new request.
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

// Next returns the wait before the next retry, and at least atLeast, which is the Retry-After of the last answer or 0.
func (b *Backoff) Next(atLeast time.Duration) time.Duration {
	return max(b.policy.NextBackOff(), atLeast)
}
