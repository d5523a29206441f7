package gateway

// sendResult says how a send to a server ended.
type sendResult uint8

const (
	// sendAnswered means that an answer went to the client, or that the client left.
	sendAnswered sendResult = iota + 1
	// sendCut means that an answer had begun to go out and broke off, so that nothing else can be sent.
	sendCut
	// sendUnreachable means that nothing arrived at the server.
	sendUnreachable
	// sendNotExecuted means that the server did not run the request.
	sendNotExecuted
	// sendError is a whole answer that tells of the server's failure.
	sendError
	// sendBroken means that there was no whole answer of the request's own.
	sendBroken
	// sendSilent means that the server was given up since it did not answer.
	sendSilent
)

var sendNames = [...]string{"", "answered", "cut", "unreachable", "not-executed", "error", "broken", "silent"}

// String returns the result's name for logs and metrics.
func (s sendResult) String() string { return sendNames[s] }

// final reports whether the exchange is over.
func (s sendResult) final() bool { return s == sendAnswered || s == sendCut }

// mayHaveRun reports whether the server may have run the request.
func (s sendResult) mayHaveRun() bool { return s == sendError || s == sendBroken || s == sendSilent }
