package engine

import "fmt"

// ErrorKind says what is wrong with an engine's answer.
type ErrorKind string

const (
	// ErrTruncated reports that the answer ended before its end mark.
	ErrTruncated ErrorKind = "truncated"
	// ErrMalformed reports an answer that breaks the syntax or holds impossible values.
	ErrMalformed ErrorKind = "malformed"
	// ErrTooLarge reports an answer above a limit.
	ErrTooLarge ErrorKind = "too-large"
	// ErrOutOfOrder reports tokens that are missing or repeated.
	ErrOutOfOrder ErrorKind = "out-of-order"
	// ErrCrossed reports an answer to another request.
	ErrCrossed ErrorKind = "crossed"
	// ErrEngine reports that the engine itself ended the answer with an error.
	ErrEngine ErrorKind = "engine-error"
)

// DecodeError reports an answer that cannot be used.
type DecodeError struct {
	Kind   ErrorKind
	Detail string
	// Cause is the error of the reader, or nil.
	Cause error
}

// Error describes the fault.
func (e *DecodeError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("engine protocol: %s: %s: %v", e.Kind, e.Detail, e.Cause)
	}
	return fmt.Sprintf("engine protocol: %s: %s", e.Kind, e.Detail)
}

// Unwrap returns the reader's error.
func (e *DecodeError) Unwrap() error { return e.Cause }

func malformed(format string, args ...any) error {
	return &DecodeError{Kind: ErrMalformed, Detail: fmt.Sprintf(format, args...)}
}
