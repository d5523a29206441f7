package relay

import "time"

// PromptPart is a part of a prompt. Prompts that begin with the same parts share their cached computation.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is what a client's request says of itself. Zero values mean that it does not tell.
type Request struct {
	// ID names one attempt of the client.
	ID string
	// Patience is how long the client waits.
	Patience time.Duration
	// PromptTokens and MaxOutputTokens are the sizes that the client declares.
	PromptTokens    int
	MaxOutputTokens int
	// OutputHint is the client's estimate of the output tokens.
	OutputHint int
	Parts      []PromptPart
	// LastEvent is the ID of the last event that the client has of an earlier stream.
	LastEvent string
}

// Send is what the router adds to a request to a backend server.
type Send struct {
	// Remaining is the time that is left for the answer.
	Remaining time.Duration
	// Server is the ID of the only backend server that may run the request.
	Server string
	Team   string
	// LastEvent is the ID of the last event that need not be sent again.
	LastEvent string
}

// Answer is what a backend server's answer says of itself.
type Answer struct {
	Status int
	// ID is the attempt that the answer belongs to; empty when it does not tell.
	ID string
	// Signed says that the server put its signature on the answer.
	Signed bool
	// NotExecuted says that the request did not run.
	NotExecuted bool
	// WrongServer says that another server has the address now.
	WrongServer bool
}
