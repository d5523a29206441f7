package claim

import (
	"errors"
	"fmt"
)

var (
	// ErrBudgetExceeded reports that the router's or the team's share of the store's writes is used up. Nothing was
	// claimed.
	ErrBudgetExceeded = errors.New("claim: write budget exceeded")
	// ErrInvalidKey reports an idempotency key that is empty or longer than MaxKeyBytes.
	ErrInvalidKey = errors.New("claim: invalid idempotency key")
	// ErrAlreadyEnded reports a claim that was finished or abandoned before.
	ErrAlreadyEnded = errors.New("claim: already finished or abandoned")
	// errStoreUnresponsive is returned without calling the store for a short time after it did not respond.
	errStoreUnresponsive = errors.New("claim: store did not respond recently")
	// ErrClosed reports that the manager was closed.
	ErrClosed = errors.New("claim: manager closed")
)

// KeyConflictError reports that the key was used before with a different request. Nothing was claimed.
type KeyConflictError struct {
	Service string
	// RequestID is the id of the request that used the key first.
	RequestID string
}

// Error describes the conflict.
func (e *KeyConflictError) Error() string {
	return fmt.Sprintf("claim: idempotency key of service %s was used with a different request", e.Service)
}

// StoreError reports a failed write. Begin returns it when the store refused the claim; nothing was claimed. Finish and
// Abandon return it when the store did not confirm the end of the claim.
type StoreError struct{ Err error }

// Error describes the failure.
func (e *StoreError) Error() string { return fmt.Sprintf("claim: store refused the claim: %v", e.Err) }

// Unwrap returns the store's error.
func (e *StoreError) Unwrap() error { return e.Err }

// UncertainError reports that the claim's write got no response and that reading the record back did not show whether
// it took effect. The caller must not send the call; the manager keeps trying to mark the record not-run.
type UncertainError struct{ Err error }

// Error describes the failure.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("claim: outcome of the claim's write is unknown: %v", e.Err)
}

// Unwrap returns the last error.
func (e *UncertainError) Unwrap() error { return e.Err }

// OpenError reports that the claim is still open: another request holds it and did not finish before the context
// ended. The call of that request may have run. Begin also returns it for a record that cannot be decoded, and Finish
// and Abandon return it when the record no longer has the revision of the claim.
type OpenError struct {
	// RequestID is the id of the request that holds the claim, or empty if unknown.
	RequestID string
	Err       error
}

// Error describes the failure.
func (e *OpenError) Error() string {
	return fmt.Sprintf("claim: held by request %s: %v", e.RequestID, e.Err)
}

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.Err }
