package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/platform"
)

// errDeadline is the cause of a context that ended at the request's deadline.
var errDeadline = errors.New("deadline passed")

const (
	// deadlineMargin is taken from the client's deadline, so that the final answer reaches it in time.
	deadlineMargin = 15 * time.Millisecond
	// maxDelay is the wait for the processor from which requests to model engines are refused at once: the larger part of
	// a first event's objective of 0.5 to 1 s would be gone before a request is read.
	maxDelay = 200 * time.Millisecond
	// maxSends bounds the sends of one request, those included that did not run.
	maxSends = 4
	// defaultOutput is the assumed number of output tokens of a request that does not tell.
	defaultOutput = 256
)

// exchange is one request and its answer.
type exchange struct {
	g *Gateway
	w http.ResponseWriter
	r *http.Request

	arrival  time.Time
	table    *routing.Table
	route    *routing.Route
	service  *routing.Service
	team     string
	priority int
	info     relay.Request
	body     []byte
	deadline time.Time

	// sends counts the sends to servers, runs those after which the request may have run.
	sends    int
	runs     int
	excluded []string
	// server is the last one that the request was sent to.
	server string
	waited time.Duration
	first  time.Duration
	cached int
	// load and predicted are what the admission knew of the server.
	load      engineload.Load
	predicted time.Duration
	// stream is the state of an event stream that has begun to go out.
	stream streamState
	// held is a server's answer that tells of a failure. It goes out if no other server answers.
	held *heldAnswer
	// lastErr is the cause of the last failed send.
	lastErr error
}

// serve handles the request from its head to the end of the answer.
func (x *exchange) serve() {
	x.info = platform.DecodeRequest(x.r.Header)
	if !x.identify() {
		return
	}
	delay := x.g.opts.Delay()
	if x.service.Engine != nil && delay > maxDelay {
		x.refuse(refusalOverload, returnOverload)
		return
	}
	x.deadline = x.arrival.Add(x.route.Timeout)
	if x.info.Patience > 0 {
		// The client's time began when it sent the request.
		x.deadline = earlier(x.deadline, x.arrival.Add(x.info.Patience-deadlineMargin-delay))
	}
	if !x.readBody() {
		return
	}
	defer x.g.bodies.Add(-int64(len(x.body)))
	if x.g.stopping.Load() {
		x.refuse(refusalStopping, returnElsewhere)
		return
	}
	ctx, cancel := withDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.g.opts.Budget.Deposit(time.Now(), x.service.Name)
	x.attempt(ctx)
}

// identify finds the route and the team. It answers a request that has none.
func (x *exchange) identify() bool {
	x.table = x.g.opts.Routing.Load()
	if x.table == nil {
		x.refuse(refusalNoConfig, returnElsewhere)
		return false
	}
	x.route = x.table.Route(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		x.reject(http.StatusNotFound, "no route")
		return false
	}
	if !x.authorize() {
		return false
	}
	x.service = x.table.Service(x.pickTarget())
	if x.service == nil {
		x.refuse(refusalNoService, returnSoon)
		return false
	}
	return true
}

// authorize finds the team by the API key. Keys are accepted only while the configuration is known to be recent, since
// a key may have been removed.
func (x *exchange) authorize() bool {
	x.priority = x.route.Priority
	if x.route.Anonymous || !x.table.RequiresAPIKey() {
		return true
	}
	if !x.g.opts.Proof.Within(x.g.opts.KeyLimit()) {
		x.refuse(refusalStale, returnElsewhere)
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

// pickTarget chooses a service by weight.
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

// readBody reads the whole body within the limits.
func (x *exchange) readBody() bool {
	limit := x.table.Limits.MaxBodyBytes
	if x.r.ContentLength > limit {
		x.reject(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	if x.r.Body == nil || x.r.ContentLength == 0 {
		return true
	}
	reader := http.MaxBytesReader(x.w, x.r.Body, limit)
	var err error
	if x.r.ContentLength > 0 {
		if !x.g.reserve(x.r.ContentLength) {
			x.refuse(refusalMemory, returnSoon)
			return false
		}
		x.body = make([]byte, x.r.ContentLength)
		_, err = io.ReadFull(reader, x.body)
	} else {
		x.body, err = io.ReadAll(reader)
		if err == nil && !x.g.reserve(int64(len(x.body))) {
			x.body = nil
			x.refuse(refusalMemory, returnSoon)
			return false
		}
	}
	if err == nil {
		return true
	}
	if x.r.ContentLength > 0 {
		x.g.bodies.Add(-int64(len(x.body)))
	}
	x.body = nil
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		x.reject(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	x.log("incomplete", logfield.Error(err))
	panic(http.ErrAbortHandler)
}

// attempt sends the request until it has an answer, or cannot have one.
func (x *exchange) attempt(ctx context.Context) {
	for {
		ticket, verdict, err := x.g.opts.Admission.Admit(ctx, x.work())
		if err != nil {
			x.giveUp(ctx)
			return
		}
		x.waited = time.Since(x.arrival)
		if verdict.Server == nil {
			x.unplaced(verdict)
			return
		}
		x.server = verdict.Server.ID
		x.cached, x.load, x.predicted = verdict.CachedTokens, verdict.Load, verdict.FirstEvent
		result := x.send(ctx, ticket, verdict)
		x.g.opts.Metrics.Sends.WithLabelValues(result.String()).Inc()
		if result.final() {
			return
		}
		x.excluded = append(x.excluded, x.server)
		if ctx.Err() != nil {
			x.giveUp(ctx)
			return
		}
		if result != sendError && !x.mayRepeat(result) {
			x.fail(result)
			return
		}
		x.log("repeat", zap.Stringer("result", result), logfield.Error(x.lastErr))
	}
}

// work describes the request to the admission.
func (x *exchange) work() admission.Request {
	arrival := x.arrival
	if x.sends > 0 {
		arrival = time.Now() // the wait for the next server begins anew
	}
	w := admission.Request{
		ID:        x.info.ID,
		Team:      x.team,
		Kind:      x.route.Name,
		Service:   x.service,
		Priority:  x.priority,
		Arrival:   arrival,
		Repeat:    x.sends > 0,
		Objective: x.route.Objective,
		Deadline:  x.deadline,
		Exclude:   x.excluded,
	}
	if x.service.Engine != nil {
		w.Parts = x.info.Parts
		w.PromptTokens = x.info.PromptTokens
		w.OutputTokens = x.outputTokens()
	}
	return w
}

// outputTokens estimates the size of the answer.
func (x *exchange) outputTokens() int {
	switch {
	case x.info.OutputHint > 0 && x.info.MaxOutputTokens > 0:
		return min(x.info.OutputHint, x.info.MaxOutputTokens)
	case x.info.OutputHint > 0:
		return x.info.OutputHint
	case x.info.MaxOutputTokens > 0:
		return x.info.MaxOutputTokens
	default:
		return defaultOutput
	}
}

// mayRepeat reports whether the request may be sent once more after a failed send, and takes that send out of the budget.
// A whole answer that tells of a failure was asked about before it was dropped.
func (x *exchange) mayRepeat(result sendResult) bool {
	if x.sends >= maxSends {
		return false
	}
	if result == sendUnreachable {
		return true // nothing arrived
	}
	if result.mayHaveRun() && (!x.route.Idempotent() || x.runs >= x.route.MaxAttempts) {
		return false
	}
	return x.g.opts.Budget.Allow(time.Now(), x.service.Name)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
