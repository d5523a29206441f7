package execute

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/dispatch"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

const (
	// defaultMaxResponseBytes is the default maximum size of a service's response body, in bytes.
	defaultMaxResponseBytes = 8 << 20
	// defaultServiceTimeout and defaultModelTimeout apply to services and models that configure no timeout.
	defaultServiceTimeout = 30 * time.Second
	defaultModelTimeout   = 120 * time.Second
	// maxAttempts is the maximum number of attempts without a response per request, even if the retry budget allows more.
	maxAttempts = 4
	// maxLost is the number of consecutive attempts that may have run and produced nothing after which a request is not
	// sent to a further backend server: the request itself may end them.
	maxLost = 2
	// maxExclude is the maximum number of backend servers that an attempt may exclude.
	maxExclude = 4
	// defaultRetryAfter is the Retry-After returned to callers when no more precise value is known.
	defaultRetryAfter = time.Second
	// recordTimeout is the maximum time to wait until a result is recorded or a claim is abandoned. The claim manager
	// continues in the background after it.
	recordTimeout = 3 * time.Second
)

var (
	// errNoConfiguration reports that no configuration has been loaded yet.
	errNoConfiguration = errors.New("execute: no configuration loaded")
	// errNotServing reports that the router does not accept new requests.
	errNotServing = errors.New("execute: router does not accept new requests")
)

// Executor runs callers' requests. It is safe for concurrent use.
type Executor struct {
	admitter         dispatch.Admitter
	backends         Backends
	claims           Claims
	retry            RetryBudget
	objects          func() *object.Set
	serving          func() bool
	maxResponseBytes int64
	log              *zap.Logger
	// pendingAbandons counts the claims that are being abandoned in the background.
	pendingAbandons sync.WaitGroup
}

// New returns an Executor, with defaults for the optional fields of opts.
func New(opts Options) *Executor {
	if opts.MaxResponseBytes <= 0 {
		opts.MaxResponseBytes = defaultMaxResponseBytes
	}
	if opts.Serving == nil {
		opts.Serving = func() bool { return true }
	}
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	return &Executor{
		admitter:         opts.Admitter,
		backends:         opts.Backends,
		claims:           opts.Claims,
		retry:            opts.Retry,
		objects:          opts.Objects,
		serving:          opts.Serving,
		maxResponseBytes: opts.MaxResponseBytes,
		log:              opts.Logger.Named("execute"),
	}
}

// NewRequest returns a reference for a new request.
func (e *Executor) NewRequest() ident.RequestRef { return e.admitter.NewRequest() }

// Wait blocks until no claim is being abandoned in the background. Call it after the last request has ended.
func (e *Executor) Wait() { e.pendingAbandons.Wait() }

// configuration returns the current objects, or a failure if the router does not accept new requests.
func (e *Executor) configuration() (*object.Set, *failure) {
	notServing := &failure{outcome: NotRun, reason: ReasonNotServing, retryAfter: defaultRetryAfter}
	set := e.objects()
	if set == nil {
		notServing.err = errNoConfiguration
		return nil, notServing
	}
	if !e.serving() {
		notServing.err = errNotServing
		return nil, notServing
	}
	return set, nil
}

// attempts numbers the attempts of one request and keeps track of the backend servers to exclude.
type attempts struct {
	executor *Executor
	work     dispatch.Work
	// unanswered is the number of attempts that were granted and ended without a response.
	unanswered int
	// lost is the number of consecutive attempts that may have run and produced nothing.
	lost int
	// mayHaveRun is true once an attempt was sent and not refused, so that the request may have run.
	mayHaveRun bool
}

func (e *Executor) newAttempts(w dispatch.Work) *attempts {
	e.retry.Deposit(w.Team, w.Pool)
	return &attempts{executor: e, work: w}
}

// admit waits for the next grant. A grant that arrives after the context has ended is settled as unused. If all
// available backend servers are excluded, admit clears the exclusions and tries once more.
func (a *attempts) admit(ctx context.Context) (*grant, error) {
	attempt, err := a.enqueue(ctx)
	if len(a.work.Exclude) > 0 && isNoBackend(err) {
		a.work.Exclude = nil
		attempt, err = a.enqueue(ctx)
	}
	if err != nil {
		return nil, err
	}
	g := &grant{attempt: attempt}
	if err := ctx.Err(); err != nil {
		g.settle(message.SettleUnused, 0)
		return nil, err
	}
	return g, nil
}

// enqueue queues the next attempt and waits until it is admitted.
func (a *attempts) enqueue(ctx context.Context) (dispatch.Attempt, error) {
	a.work.Ref.Attempt++
	return a.executor.admitter.Admit(ctx, a.work)
}

func isNoBackend(err error) bool {
	var notAdmitted *dispatch.NotAdmittedError
	return errors.As(err, &notAdmitted) && notAdmitted.Reason == dispatch.NotAdmittedNoBackend
}

// awaitRetry reports whether another attempt is allowed, after waiting for the backoff delay.
func (a *attempts) awaitRetry(ctx context.Context) bool {
	a.unanswered++
	if a.unanswered >= maxAttempts || ctx.Err() != nil {
		return false
	}
	if !a.executor.retry.Allow(a.work.Team, a.work.Pool) {
		return false
	}
	return sleep(ctx, a.executor.retry.Backoff(a.unanswered+1))
}

// recordRun records a failed attempt that may have run, and whether it has produced a part of the result. It reports
// whether another backend server may get the request.
func (a *attempts) recordRun(progressed bool) bool {
	a.mayHaveRun = true
	if progressed {
		a.lost = 0
		return true
	}
	a.lost++
	return a.lost < maxLost
}

// exclude excludes a backend server from later attempts. Beyond maxExclude, the oldest exclusion is dropped.
func (a *attempts) exclude(server *object.BackendServer) {
	list := append([]ident.BackendID(nil), a.work.Exclude...)
	list = append(list, ident.BackendID(server.Name))
	if len(list) > maxExclude {
		list = list[len(list)-maxExclude:]
	}
	a.work.Exclude = list
}

// grant is a granted attempt. Only the first call of settle has an effect.
type grant struct {
	attempt dispatch.Attempt
	settled bool
}

func (g *grant) server() *object.BackendServer { return g.attempt.Backend() }

func (g *grant) settle(result message.SettleResult, cost ident.Cost) {
	if g.settled {
		return
	}
	g.settled = true
	g.attempt.Settle(result, cost)
}

// sleep waits for d and returns true. It returns false as soon as the context ends, and immediately if the context's
// deadline would pass first.
func sleep(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	return periodic.Sleep(ctx, d)
}

// earlierDeadline returns the earlier of the requested deadline, if there is one, and the end of the timeout from now.
func earlierDeadline(requested time.Time, timeout time.Duration) time.Time {
	deadline := time.Now().Add(timeout)
	if !requested.IsZero() && requested.Before(deadline) {
		return requested
	}
	return deadline
}

// secondsOr converts n seconds to a duration. It returns the fallback if n is not positive.
func secondsOr(n int, fallback time.Duration) time.Duration {
	if n <= 0 {
		return fallback
	}
	return time.Duration(n) * time.Second
}
