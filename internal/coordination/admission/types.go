package admission

import (
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// Request describes a request to be placed on a backend server.
type Request struct {
	ID   string
	Team string
	// Kind groups similar requests, such as those of one route. The kinds of a team share the team's service.
	Kind    string
	Service *routing.Service
	// Parts are the parts of the prompt in order.
	Parts []relay.PromptPart
	// PromptTokens and OutputTokens are the sizes of a request to a model engine; OutputTokens is an estimate.
	PromptTokens int
	OutputTokens int
	// MaxOutputTokens is the largest possible number of output tokens, or 0 if it is not known.
	MaxOutputTokens int
	Priority        int
	// Arrival is the time at which the router had read the whole request.
	Arrival time.Time
	// Objective is the target time from the arrival to the first event or the answer.
	Objective time.Duration
	// MaxPause is the longest pause between two events of the response that is on time. 0 means no bound.
	MaxPause time.Duration
	// Deadline is the time at which the client or the route gives up.
	Deadline time.Time
	// Repeat marks a request that was already sent once. It precedes the team's other requests, because its client has
	// waited and may hold a part of the answer.
	Repeat bool
	// Isolated marks a request that may crash its server. It goes to the server with the fewest other requests.
	Isolated bool
	// Exclude lists the servers that must not be chosen because the request failed on them before.
	Exclude []string
}

// excludes reports whether a server must not be chosen because the request failed on it before.
func (r *Request) excludes(server string) bool { return slices.Contains(r.Exclude, server) }

// Reason is the reason why a request was refused.
type Reason string

// Reasons for a refusal.
const (
	// ReasonLate means that the first event cannot come in time.
	ReasonLate Reason = "late"
	// ReasonBacklog means that the requests queued for the team take longer to serve than the request can wait.
	ReasonBacklog Reason = "backlog"
	// ReasonNoServer means that no backend server takes requests.
	ReasonNoServer Reason = "no-server"
	// ReasonEvacuated means that all backend servers of the service are in evacuated failure domains.
	ReasonEvacuated Reason = "servers-evacuated"
	// ReasonPaused means that all backend servers have asked for a pause.
	ReasonPaused Reason = "servers-paused"
	// ReasonLimited means that the backend servers take fewer requests a second than there are.
	ReasonLimited Reason = "servers-limited"
	// ReasonTooLarge means that the request exceeds the memory of an engine.
	ReasonTooLarge Reason = "too-large"
	// ReasonDeadline means that the client or the route has given up.
	ReasonDeadline Reason = "deadline"
)

// Decision grants a request a server or refuses it.
type Decision struct {
	// Server is nil for a refusal.
	Server *backends.Server
	Reason Reason
	// RetryAfter is the time after which a refused client should retry.
	RetryAfter time.Duration
	// Load is the chosen server's load without the request. CachedTokens is the number of prompt tokens that the server
	// is expected to have in its cache.
	Load         engineload.Load
	CachedTokens int
	// FirstEvent is the predicted time from the send to the first event.
	FirstEvent time.Duration
	// PermitsDenied is the number of servers with a limit that the request was to go to and for which there was no permit.
	PermitsDenied int
}

// Result is the outcome of a granted request.
type Result uint8

// Results of a granted request.
const (
	// ResultOK is a complete answer.
	ResultOK Result = iota + 1
	// ResultError is a complete answer that reports a failure of the server.
	ResultError
	// ResultBroken is an answer that broke off, or no answer.
	ResultBroken
	// ResultUnreachable means that no connection was made.
	ResultUnreachable
	// ResultFull means that the server rejected the request for lack of capacity and did not run it.
	ResultFull
	// ResultMoved means that another server now has the address.
	ResultMoved
	// ResultInvalid is an answer that exceeds the limits of the protocol, so that it might never end.
	ResultInvalid
	// ResultCancelled means that the client left or that time ran out. It does not change the server's health.
	ResultCancelled
)

// Ticket tracks a request through the core until it is finished, refused or withdrawn.
type Ticket struct {
	Request
	// decide is called with each decision: once, and again if the server's owner does not confirm a grant. It is not
	// called after the ticket is withdrawn.
	decide func(Decision)

	state          ticketState
	server         *backends.Server
	load           engineload.Load
	firstEventSeen bool
	// lastEvent is the time of the last event, if the service is scheduled by observed speeds.
	lastEvent time.Time
	// runningAhead is the number of requests on the server when this one was granted.
	runningAhead int
	// quiet is set while the server has sent nothing for too long. Its next event clears it.
	quiet bool
	// tokensAhead is the number of prompt tokens that the engine had to prefill before those of the request.
	tokensAhead int
	cost        float64
	// limits are the load limits of the granted server.
	limits   reservation.Limits
	refuseAt time.Time
	sentAt   time.Time
	// probe marks a request that tests a server that failed before.
	probe bool
	// requestsPermit is set while a permit is asked for, because the server has a limit. permit is the permit, sent is set
	// once the request may have been sent.
	requestsPermit bool
	permit         permit
	sent           bool
	// permitsDenied counts the permits that were denied.
	permitsDenied int
	// yields is set if the team left permits to a starved team when the request was granted.
	yields bool
	// withdrawal is why the request was not sent.
	withdrawal Withdrawal
}

type ticketState uint8

const (
	ticketWaiting ticketState = iota + 1
	ticketGranted
	ticketDone
)
