package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/memory"
	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/internal/transport/clientconn"
	"gooseberrytide.example/gooseberrytide/platform"
)

// errDeadline is the cause of a context that ended at the request's deadline.
var errDeadline = errors.New("deadline passed")

const (
	// deadlineMargin is subtracted from the client's deadline, so that the final response reaches the client in time.
	deadlineMargin = 15 * time.Millisecond
	// maxSchedulingDelay is the time that goroutines wait for a processor above which requests to model engines are
	// refused immediately. With such delays, most of the objective for the first event (0.5 to 1 s) has passed before
	// a request is read.
	maxSchedulingDelay = 200 * time.Millisecond
	// maxSends is the maximum number of sends of one request, including sends after which it did not run.
	maxSends = 4
	// defaultOutputTokens is the assumed number of output tokens of a request that does not declare it.
	defaultOutputTokens = 256
)

// exchange is one client request and its response.
type exchange struct {
	g *Gateway
	w http.ResponseWriter
	r *http.Request

	// arrival is when the header had been read, and received when the body had been read, too.
	arrival  time.Time
	received time.Time
	table    *routing.Table
	route    *routing.Route
	service  *routing.Service
	team     string
	priority int
	metadata relay.Request
	body     []byte
	deadline time.Time
	// memory is charged for the request. bodyEnded is set if the reading of the body was ended for lack of memory.
	memory    *memory.Holder
	bodyEnded atomic.Bool

	// cancel ends the request without a response. It is nil until the body has been read.
	cancel context.CancelFunc
	// poison is the request as a possible cause of crashes. It is nil until the body has been read.
	poison *poison.Request
	// proven is set once a response has shown that the request does not crash servers.
	proven atomic.Bool
	// trial is the right to send the request although it is suspected of that, or nil.
	trial *poison.Trial

	sends sends
	// admitting is locked while a substitute waits for its admission. Its send is recorded before the next one is
	// admitted.
	admitting sync.Mutex
	// current is the last attempt. A substitute becomes the current attempt only when it delivers. It is nil before the
	// first one.
	current *attempt
	// timeToFirst is the time from the arrival to the first event or the response, in nanoseconds.
	timeToFirst atomic.Int64
	// stream is the state of an event stream that is being sent to the client.
	stream streamState
	// failureResponse is a server's response with a status of 500 or above. It is sent to the client if no other server
	// returns a valid response.
	failureResponse atomic.Pointer[bufferedResponse]
	// lastErr is the cause of the last failed send.
	lastErr error
	// retryDenied is why the request was not sent again after its last failed send.
	retryDenied retryDenial
}

// serve handles the request from its header to the end of the response.
func (x *exchange) serve() {
	if !x.resolve() {
		return
	}
	delay := x.g.opts.SchedulingDelay()
	if x.service.Engine != nil && delay > maxSchedulingDelay {
		x.refuseUnsubmitted(refusalOverload, spread(retryAfterOverload))
		return
	}
	x.setDeadline(delay)
	clientconn.FromContext(x.r.Context()).SetReadUntil(x.deadline)
	defer func() { x.memory.Close() }()
	if !x.reserveMemory() || !x.readBody() {
		return
	}
	x.received = time.Now()
	if x.g.stopping.Load() {
		x.refuse(refusalStopping, retryAfterUnavailable)
		return
	}
	ctx, cancel := withDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.cancel = cancel
	x.poison = x.newPoisonRequest()
	x.g.opts.RetryBudget.Deposit(time.Now(), x.service.Name)
	x.sendWithRetries(ctx)
}

// setDeadline sets the request's deadline: that of the client, or the end of the route's timeout. The client's timeout
// started when it sent the request, so the time that the request waited for the processor is subtracted as well.
func (x *exchange) setDeadline(schedulingDelay time.Duration) {
	x.deadline = x.arrival.Add(x.route.Timeout)
	if x.metadata.Patience > 0 {
		x.deadline = earlier(x.deadline, x.arrival.Add(x.metadata.Patience-deadlineMargin-schedulingDelay))
	}
}

// resolve finds the route, the team and the service. If one is missing, it writes the response and returns false.
func (x *exchange) resolve() bool {
	x.table = x.g.opts.Routing.Load()
	if x.table == nil {
		x.refuse(refusalNoConfig, retryAfterUnavailable)
		return false
	}
	if _, confirmed := x.g.opts.Proof.Age(); !confirmed {
		x.refuse(refusalUnconfirmed, retryAfterUnavailable) // a restored store may lack what was written last
		return false
	}
	x.route = x.table.Route(x.r.Host, routePath(x.r.URL))
	if x.route == nil {
		x.reject(http.StatusNotFound, "no route")
		return false
	}
	if !x.authenticate() {
		return false
	}
	x.service = x.table.Service(x.pickTarget())
	if x.service == nil {
		x.refuse(refusalNoService, retryAfterShortage)
		return false
	}
	return true
}

// authenticate finds the team by the API key. If it fails, it writes the response and returns false. Keys are accepted
// only while the configuration is known to be recent, since a key may have been removed.
func (x *exchange) authenticate() bool {
	x.priority = x.route.Priority
	if x.route.Anonymous || !x.table.RequiresAPIKey() {
		return true
	}
	if !x.g.opts.Proof.Within(x.g.opts.MaxConfigAge()) {
		x.refuse(refusalStale, retryAfterUnavailable)
		return false
	}
	team := x.table.Team(platform.APIKey(x.r.Header))
	if team == nil {
		x.reject(http.StatusUnauthorized, "unknown API key")
		return false
	}
	x.team = team.Name
	if team.Priority != nil {
		x.priority = *team.Priority
	}
	return true
}

// pickTarget chooses one of the route's services at random, in proportion to their weights.
func (x *exchange) pickTarget() string {
	targets := x.route.Targets
	if len(targets) == 1 {
		return targets[0].Service
	}
	total := 0
	for _, t := range targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return targets[0].Service
	}
	n := rand.IntN(total)
	for _, t := range targets {
		n -= max(t.Weight, 0)
		if n < 0 {
			return t.Service
		}
	}
	return targets[0].Service
}

// sendWithRetries sends the request to one server after another until the client has a final response or no further
// send is allowed.
func (x *exchange) sendWithRetries(ctx context.Context) {
	defer func() { x.trial.End() }()
	for {
		if !x.permitSuspect(ctx) {
			return
		}
		request := x.admissionRequest()
		request.Isolated = x.trial != nil
		ticket, decision, err := x.g.opts.Admission.Admit(ctx, request)
		if err != nil {
			x.handleContextEnd(ctx)
			return
		}
		if decision.Server == nil {
			x.handleNotAdmitted(decision)
			return
		}
		at := position{started: x.stream.started, sequence: x.stream.sequence}
		a := x.newAttempt(ctx, ticket, decision, at)
		a.trial = x.trial
		result := x.run(ctx, a)
		if result == sendIncomplete {
			x.endIncomplete(ctx)
		}
		if result.final() {
			return
		}
		if ctx.Err() != nil {
			x.handleContextEnd(ctx)
			return
		}
		if !x.mayRetry(result) {
			x.fail(result)
			return
		}
		x.log("repeat", zap.Stringer("result", result), zap.Int("events", x.stream.eventsSent), partsField(x.metadata.Parts), x.fingerprintField(),
			logfield.Error(x.lastErr))
	}
}

// clientHasLeft reports whether the client has closed its connection. It then ends the request.
func (x *exchange) clientHasLeft() bool {
	if !clientconn.FromContext(x.r.Context()).HasLeft() {
		return false
	}
	x.cancel()
	return true
}

// mayHaveRun reports whether a server may have run the request.
func (x *exchange) mayHaveRun() bool {
	_, possibleRuns := x.sends.total()
	return possibleRuns > 0
}

// admissionRequest returns the request's description for the admission controller.
func (x *exchange) admissionRequest() admission.Request {
	arrival := x.received
	tried := x.sends.tried()
	if len(tried) > 0 {
		arrival = time.Now() // the waiting time starts again for each further server
	}
	req := admission.Request{
		ID:        x.metadata.ID,
		Team:      x.team,
		Kind:      x.route.Name,
		Service:   x.service,
		Priority:  x.priority,
		Arrival:   arrival,
		Repeat:    len(tried) > 0,
		Objective: x.route.Objective,
		MaxPause:  x.route.MaxPause,
		Deadline:  x.deadline,
		Exclude:   tried,
	}
	if x.service.Engine != nil {
		req.Parts = x.metadata.Parts
		req.PromptTokens = x.metadata.PromptTokens
		req.OutputTokens = x.estimateOutputTokens()
		req.MaxOutputTokens = x.metadata.MaxOutputTokens
	}
	return req
}

// estimateOutputTokens returns the expected number of output tokens.
func (x *exchange) estimateOutputTokens() int {
	switch {
	case x.metadata.OutputHint > 0 && x.metadata.MaxOutputTokens > 0:
		return min(x.metadata.OutputHint, x.metadata.MaxOutputTokens)
	case x.metadata.OutputHint > 0:
		return x.metadata.OutputHint
	case x.metadata.MaxOutputTokens > 0:
		return x.metadata.MaxOutputTokens
	default:
		return defaultOutputTokens
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
