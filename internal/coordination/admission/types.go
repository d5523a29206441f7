package admission

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// Work describes a request that wants a backend server.
type Work struct {
	ID   string
	Team string
	// Kind names the requests that are alike, as those of one route are. The kinds of a team share what the team gets.
	Kind    string
	Service *routing.Service
	// Parts are the parts of the prompt in order.
	Parts []relay.PromptPart
	// PromptTokens and OutputTokens are the sizes of a request to a model engine; the output is an estimate.
	PromptTokens int
	OutputTokens int
	Priority     int
	// Arrival is when the router had read the request.
	Arrival time.Time
	// Objective is the time from the arrival to the first event or the answer.
	Objective time.Duration
	// Deadline is when the client or the route gives up.
	Deadline time.Time
	// Repeat says that the request was sent before. It goes ahead of the others of its team, since its client has waited
	// and may hold a part of the answer.
	Repeat bool
	// Exclude lists servers that must not be chosen, as they failed the request before.
	Exclude []string
}

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonLate means that the first event cannot come in time.
	ReasonLate Reason = "late"
	// ReasonBacklog means that the team's requests ahead take longer than the request can wait.
	ReasonBacklog Reason = "backlog"
	// ReasonNoServer means that no backend server takes requests.
	ReasonNoServer Reason = "no-server"
	// ReasonDeadline means that the client or the route has given up.
	ReasonDeadline Reason = "deadline"
)

// Verdict is the decision on a request: a server, or a refusal.
type Verdict struct {
	// Server is nil for a refusal.
	Server *backends.Server
	Reason Reason
	// RetryAfter is when a refused client should come back.
	RetryAfter time.Duration
	// Load is the chosen server's load before the request, CachedTokens the part of the prompt expected there.
	Load         engineload.Load
	CachedTokens int
	// First is the predicted time from the send to the first event.
	First time.Duration
}

// Result says how a granted request ended.
type Result uint8

// The results of a granted request.
const (
	// ResultOK is a whole answer.
	ResultOK Result = iota + 1
	// ResultError is a whole answer that tells of a failure of the server.
	ResultError
	// ResultBroken is an answer that broke off, or none.
	ResultBroken
	// ResultUnreachable means that no connection was made.
	ResultUnreachable
	// ResultFull means that the server did not run the request since it has no room.
	ResultFull
	// ResultMoved means that another server has the address.
	ResultMoved
	// ResultCancelled means that the client left, or that time ran out; it says nothing about the server.
	ResultCancelled
)

// Ticket is a request in the core.
type Ticket struct {
	Work
	// decide is called once with the decision, unless the ticket is withdrawn first.
	decide func(Verdict)

	state  ticketState
	server *backends.Server
	load   engineload.Load
	begun  bool
	// ahead is the number of prompt tokens that the engine had to read before the request's own.
	ahead int
	cost  float64
	// limits are those of the granted server.
	limits   reservation.Limits
	refuseAt time.Time
	sentAt   time.Time
	// probe says that the request tests a server that failed before.
	probe bool
}

type ticketState uint8

const (
	ticketWaiting ticketState = iota + 1
	ticketGranted
	ticketDone
)
