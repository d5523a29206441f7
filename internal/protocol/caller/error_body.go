package caller

import (
	"net/http"
	"strconv"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
)

// ErrorBody is the JSON body of every response in which a router reports an error.
type ErrorBody struct {
	Error        *Error          `json:"error"`
	Outcome      execute.Outcome `json:"outcome"`
	RequestID    string          `json:"request_id"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
}

// RetryAfterSeconds returns the value of the Retry-After header for a delay: whole seconds, rounded up.
func RetryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// notRunStatus maps the reasons of the not-run outcome to HTTP statuses, for those whose status is not 503.
var notRunStatus = map[execute.Reason]int{
	execute.ReasonQueueFull:      http.StatusTooManyRequests,
	execute.ReasonClaimBudget:    http.StatusTooManyRequests,
	execute.ReasonMemory:         http.StatusTooManyRequests,
	execute.ReasonDeadline:       http.StatusGatewayTimeout,
	execute.ReasonUnknownModel:   http.StatusNotFound,
	execute.ReasonUnknownVersion: http.StatusNotFound,
	execute.ReasonUnknownService: http.StatusNotFound,
	execute.ReasonKeyConflict:    http.StatusConflict,
	execute.ReasonInvalidKey:     http.StatusBadRequest,
}

// Status returns the HTTP status for a request that ended without a response from a backend server.
func Status(outcome execute.Outcome, reason execute.Reason) int {
	switch outcome {
	case execute.Completed:
		return http.StatusOK
	case execute.NotRun:
		if status, ok := notRunStatus[reason]; ok {
			return status
		}
		return http.StatusServiceUnavailable
	case execute.Failed:
		return http.StatusBadGateway
	}
	return http.StatusInternalServerError
}

// reasonMessages holds the message that callers get for each reason. The underlying errors are not passed on, because
// they name backend servers.
var reasonMessages = map[execute.Reason]string{
	execute.ReasonQueueFull:      "the team's queue is full",
	execute.ReasonDeadline:       "the deadline passed",
	execute.ReasonNoBackend:      "no backend server is available",
	execute.ReasonCancelled:      "the caller left",
	execute.ReasonNotServing:     "this router takes no new requests",
	execute.ReasonMemory:         "too many bytes of requests are waiting",
	execute.ReasonUnknownService: "no such service",
	execute.ReasonUnknownModel:   "no such model",
	execute.ReasonUnknownVersion: "the model has no such version",
	execute.ReasonClaimBudget:    "too many non-idempotent calls",
	execute.ReasonStoreOutage:    "the key-value service is down",
	execute.ReasonClaimUnsettled: "the idempotency key could not be claimed",
	execute.ReasonClaimOpen:      "an earlier request with this idempotency key has not ended",
	execute.ReasonKeyConflict:    "the idempotency key was used with a different request",
	execute.ReasonInvalidKey:     "not a valid idempotency key",
	execute.ReasonRefused:        "the backend servers refused the request",
	execute.ReasonBroken:         "the connection to the backend server broke",
	execute.ReasonInvalidAnswer:  "the backend server's answer is not valid or too large",
	execute.ReasonServiceError:   "the service answered with an error",
	execute.ReasonRecordedResult: "an earlier request with this idempotency key ended like this",
}

// reasonFields maps reasons to the request field that causes the error, for reasons that have one.
var reasonFields = map[execute.Reason]string{
	execute.ReasonUnknownService: "service",
	execute.ReasonUnknownModel:   "model",
	execute.ReasonUnknownVersion: "model",
	execute.ReasonKeyConflict:    HeaderIdempotencyKey,
	execute.ReasonInvalidKey:     HeaderIdempotencyKey,
}

// NewError returns the error for a request that ended without a response from a backend server.
func NewError(outcome execute.Outcome, reason execute.Reason) *Error {
	message := reasonMessages[reason]
	if message == "" {
		message = string(reason)
	}
	return &Error{
		Type:    errorType(outcome, reason),
		Message: message,
		Field:   reasonFields[reason],
		Status:  Status(outcome, reason),
	}
}

func errorType(outcome execute.Outcome, reason execute.Reason) ErrorType {
	switch reason {
	case execute.ReasonUnknownService, execute.ReasonUnknownModel, execute.ReasonUnknownVersion:
		return TypeNotFound
	case execute.ReasonKeyConflict:
		return TypeConflict
	case execute.ReasonInvalidKey:
		return TypeInvalidRequest
	}
	switch outcome {
	case execute.NotRun:
		return TypeNotRun
	case execute.Failed:
		return TypeFailed
	}
	return TypeUnknown
}
