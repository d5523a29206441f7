package claim

import (
	"errors"
	"fmt"
)

var (
	// ErrBudget reports that the router's share of the store's writes is used up. Nothing was claimed.
	ErrBudget = errors.New("claim: write budget exceeded")
	// ErrKey reports an idempotency key that is empty or too long.
	ErrKey = errors.New("claim: invalid idempotency key")
	// ErrFinished reports a claim that was finished or abandoned before.
	ErrFinished = errors.New("claim: already finished")
	// errSilent stands for the store's refusal while it is not asked.
	errSilent = errors.New("claim: store gave no answer a moment ago")
	// ErrClosed reports that the manager was closed.
	ErrClosed = errors.New("claim: manager closed")
)

// MismatchError reports that the key was used before with a different request. Nothing was claimed.
type MismatchError struct {
	Service string
	// RequestID is the id of the request that used the key first.
	RequestID string
}

// Error describes the conflict.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("claim: idempotency key of service %s was used with a different request", e.Service)
}

// StoreError reports that the store refused the claim. Nothing was claimed.
type StoreError struct{ Err error }

// Error describes the failure.
func (e *StoreError) Error() string { return fmt.Sprintf("claim: store refused the claim: %v", e.Err) }

// Unwrap returns the store's error.
func (e *StoreError) Unwrap() error { return e.Err }

// UnsettledError reports that the claim's write got no answer and could not be read back. The caller must not send
// the call; the manager keeps trying to mark the record not-run.
type UnsettledError struct{ Err error }

// Error describes the failure.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("claim: outcome of the claim's write is unknown: %v", e.Err)
}

// Unwrap returns the last error.
func (e *UnsettledError) Unwrap() error { return e.Err }

// OpenError reports that another request holds the claim and did not finish before the context ended. Its call may
// have run.
type OpenError struct {
	// RequestID is the id of the request that holds the claim.
	RequestID string
	Err       error
}

// Error describes the failure.
func (e *OpenError) Error() string {
	return fmt.Sprintf("claim: held by request %s: %v", e.RequestID, e.Err)
}

// Unwrap returns the reason for giving up.
func (e *OpenError) Unwrap() error { return e.Err }
