package caller

import (
	"fmt"
	"net/http"
)

// ErrorType is the class of an error, as reported to callers.
type ErrorType string

// The types of errors.
const (
	TypeInvalidRequest ErrorType = "invalid_request"
	TypeAuthentication ErrorType = "authentication"
	TypeNotFound       ErrorType = "not_found"
	TypeTooLarge       ErrorType = "too_large"
	TypeConflict       ErrorType = "conflict"
	TypeNotRun         ErrorType = "not_run"
	TypeFailed         ErrorType = "failed"
	TypeUnknown        ErrorType = "unknown_outcome"
)

// Error is an error reported to a caller. A request whose parsing returns an Error is rejected before anything runs.
type Error struct {
	Type    ErrorType `json:"type"`
	Message string    `json:"message"`
	// Field names the field, header or part of the path that caused the error, or is empty.
	Field string `json:"field,omitempty"`
	// Status is the HTTP status.
	Status int `json:"-"`
}

// Error returns the message, preceded by the field if there is one.
func (e *Error) Error() string {
	if e.Field == "" {
		return "caller: " + e.Message
	}
	return fmt.Sprintf("caller: %s: %s", e.Field, e.Message)
}

// invalid returns an error of type TypeInvalidRequest for a field.
func invalid(field, format string, args ...any) *Error {
	return &Error{
		Type:    TypeInvalidRequest,
		Message: fmt.Sprintf(format, args...),
		Field:   field,
		Status:  http.StatusBadRequest,
	}
}

// ErrUnauthenticated returns the error for a request without a valid API key.
func ErrUnauthenticated() *Error {
	return &Error{
		Type:    TypeAuthentication,
		Message: "missing or unknown API key",
		Field:   "Authorization",
		Status:  http.StatusUnauthorized,
	}
}

// ErrTooLarge returns the error for a request in which a field exceeds a limit in bytes.
func ErrTooLarge(field string, limit int) *Error {
	return &Error{
		Type:    TypeTooLarge,
		Message: fmt.Sprintf("larger than %d bytes", limit),
		Field:   field,
		Status:  http.StatusRequestEntityTooLarge,
	}
}

// ErrIncomplete returns the error for a request whose body was incomplete or did not arrive in time.
func ErrIncomplete() *Error {
	return &Error{
		Type:    TypeInvalidRequest,
		Message: "the body did not arrive whole and in time",
		Field:   "body",
		Status:  http.StatusBadRequest,
	}
}

// ErrNoRoute returns the error for a request to a path that does not exist.
func ErrNoRoute() *Error {
	return &Error{Type: TypeNotFound, Message: "no such path", Field: "path", Status: http.StatusNotFound}
}
