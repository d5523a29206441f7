package relay

import "time"

// PromptPart is a part of a prompt. Prompts that begin with the same parts share cached computation.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// SharedParts returns the parts of a prompt that other requests may share: all but the last one.
func SharedParts(parts []PromptPart) []PromptPart {
	if len(parts) == 0 {
		return nil
	}
	return parts[:len(parts)-1]
}

// Request holds the metadata that a client sends with a request. A zero value means that the client did not send it.
type Request struct {
	// ID identifies one attempt of the client.
	ID string
	// Patience is how long the client waits for the response.
	Patience time.Duration
	// PromptTokens and MaxOutputTokens are the sizes that the client declares, in tokens.
	PromptTokens    int
	MaxOutputTokens int
	// OutputHint is the client's estimate of the number of output tokens.
	OutputHint int
	Parts      []PromptPart
	// LastEvent is the ID of the last event that the client received from an earlier stream.
	LastEvent string
}

// UpstreamRequest holds the metadata that the router adds to a request to a backend server.
type UpstreamRequest struct {
	// Remaining is the time left until the response is due.
	Remaining time.Duration
	// Server is the ID of the backend server that the request is meant for. No other server may run it.
	Server string
	Team   string
	// LastEvent is the ID of the last event that the server need not send again.
	LastEvent string
}

// Response holds the metadata of a backend server's response.
type Response struct {
	Status int
	// ID is the ID of the attempt that the response belongs to, or empty if the response does not name it.
	ID string
	// Signed is set if the response carries the server's signature.
	Signed bool
	// NotExecuted is set if the server did not run the request.
	NotExecuted bool
	// Leaving is set if the server is about to leave.
	Leaving bool
	// Pause is the time for which a server that turned the request away wants no requests from this router. InvalidPause
	// is the text of a pause that is not a positive number of seconds.
	Pause        time.Duration
	InvalidPause string
	// Limited is set if the server names a limit of the requests that it takes from all routers together. Limit is that
	// limit in requests per second. InvalidLimit is the text of a limit that is not a number, or negative.
	Limited      bool
	Limit        float64
	InvalidLimit string
	// LoadKnown is set if the server announces its load: the requests that run and wait there from all routers, and its
	// slots.
	LoadKnown   bool
	LoadRunning int
	LoadWaiting int
	LoadSlots   int
	// Pace says how long work takes on the server at this moment, in percent of the usual time. 0 means not announced.
	Pace int
	// ColdNamed is set if the server says whether it is cold. ColdLeft is then for how long it still is; 0 means that it is
	// warm. InvalidCold is the text of a value that is not a number of milliseconds.
	ColdNamed   bool
	ColdLeft    time.Duration
	InvalidCold string
	// WrongServer is set if another server now has the address.
	WrongServer bool
}
