package engine

import "fmt"

// ErrorKind is the class of a DecodeError.
type ErrorKind string

const (
	// ErrTruncated reports a response that is incomplete, for example a completion stream without the [DONE] marker.
	ErrTruncated ErrorKind = "truncated"
	// ErrMalformed reports a response with invalid syntax or invalid values.
	ErrMalformed ErrorKind = "malformed"
	// ErrTooLarge reports a response that exceeds a limit.
	ErrTooLarge ErrorKind = "too-large"
	// ErrOutOfOrder reports tokens that are missing or repeated.
	ErrOutOfOrder ErrorKind = "out-of-order"
	// ErrWrongRequest reports a response that belongs to another request.
	ErrWrongRequest ErrorKind = "crossed"
	// ErrEngine reports that the engine ended the response with an error event.
	ErrEngine ErrorKind = "engine-error"
)

// DecodeError reports a response of an engine that cannot be decoded.
type DecodeError struct {
	Kind   ErrorKind
	Detail string
	// Cause is the error of the underlying reader, or nil.
	Cause error
}

// Error returns the kind, the detail and the cause, if any.
func (e *DecodeError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("engine protocol: %s: %s: %v", e.Kind, e.Detail, e.Cause)
	}
	return fmt.Sprintf("engine protocol: %s: %s", e.Kind, e.Detail)
}

// Unwrap returns Cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// malformed returns a DecodeError of kind ErrMalformed.
func malformed(format string, args ...any) error {
	return &DecodeError{Kind: ErrMalformed, Detail: fmt.Sprintf(format, args...)}
}
