package gateway

// sendResult is the outcome of one send to a server.
type sendResult uint8

const (
	// sendAnswered means that the response was forwarded to the client.
	sendAnswered sendResult = iota + 1
	// sendClientDisconnected means that a write to the client failed, so that nothing else can be sent to it.
	sendClientDisconnected
	// sendUnreachable means that nothing reached the server.
	sendUnreachable
	// sendNotExecuted means that the server did not run the request.
	sendNotExecuted
	// sendError means that the server returned a complete response with a status of 500 or above.
	sendError
	// sendBroken means that there was no complete and valid response to the request.
	sendBroken
	// sendIncomplete means that a part of the body was forwarded and the rest did not arrive in time.
	sendIncomplete
	// sendWithdrawn means that the server announced, before anything was sent, that it leaves or wants a pause.
	sendWithdrawn
	// sendSilent means that the server was quiet and that a substitute has delivered in its place.
	sendSilent
	// sendDiscarded means that the attempt was a substitute and that another attempt has delivered in its place.
	sendDiscarded
)

var sendResultNames = [...]string{
	"", "answered", "cut", "unreachable", "not-executed", "error", "broken", "incomplete", "withdrawn", "silent",
	"discarded",
}

// String returns the result's name for logs and metrics.
func (s sendResult) String() string { return sendResultNames[s] }

// final reports whether the exchange has ended.
func (s sendResult) final() bool {
	return s == sendAnswered || s == sendClientDisconnected || s == sendIncomplete
}

// mayHaveRun reports whether the server may have run the request.
func (s sendResult) mayHaveRun() bool { return s == sendError || s == sendBroken }

// leavesRunning reports whether the server may still run the request, and has not completed its response.
func (s sendResult) leavesRunning() bool {
	switch s {
	case sendClientDisconnected, sendBroken, sendIncomplete, sendSilent, sendDiscarded:
		return true
	default:
		return false
	}
}
