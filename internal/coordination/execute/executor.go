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
	// defaultMaxResponseBytes bounds a service's answer.
	defaultMaxResponseBytes = 8 << 20
	// defaultServiceTimeout and defaultModelTimeout bound requests whose object states no limit.
	defaultServiceTimeout = 30 * time.Second
	defaultModelTimeout   = 120 * time.Second
	// maxAttempts bounds the attempts that end without an answer, over the retry budget.
	maxAttempts = 4
	// maxExclude is the largest number of backend servers that an attempt may exclude.
	maxExclude = 4
	// defaultRetryAfter is told to callers when nothing better is known.
	defaultRetryAfter = time.Second
	// recordTimeout bounds the wait for the record of a result; the claims go on in the background.
	recordTimeout = 3 * time.Second
)

var (
	// errNoConfiguration reports that no configuration is in force yet.
	errNoConfiguration = errors.New("execute: no configuration in force")
	// errNotServing reports that the router may not take new requests.
	errNotServing = errors.New("execute: not serving")
)

// Executor runs callers' requests. It is safe for concurrent use.
type Executor struct {
	admitter    dispatch.Admitter
	backends    Backends
	claims      Claims
	retry       RetryBudget
	objects     func() *object.Set
	serving     func() bool
	maxResponse int64
	log         *zap.Logger
	// abandoning counts claims that are given up in the background.
	abandoning sync.WaitGroup
}

// New returns an executor.
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
		admitter:    opts.Admitter,
		backends:    opts.Backends,
		claims:      opts.Claims,
		retry:       opts.Retry,
		objects:     opts.Objects,
		serving:     opts.Serving,
		maxResponse: opts.MaxResponseBytes,
		log:         opts.Logger.Named("execute"),
	}
}

// NewRequest returns a reference for a new request.
func (e *Executor) NewRequest() ident.RequestRef { return e.admitter.NewRequest() }

// Wait waits until no claim is being given up in the background. Call it after the last request has ended.
func (e *Executor) Wait() { e.abandoning.Wait() }

// configuration returns the objects in force, or why new requests are not taken.
func (e *Executor) configuration() (*object.Set, *verdict) {
	refused := &verdict{outcome: NotRun, reason: ReasonNotServing, retryAfter: defaultRetryAfter}
	set := e.objects()
	if set == nil {
		refused.err = errNoConfiguration
		return nil, refused
	}
	if !e.serving() {
		refused.err = errNotServing
		return nil, refused
	}
	return set, nil
}

// attempts numbers the attempts of one request and remembers which backend servers to leave out.
type attempts struct {
	executor *Executor
	work     dispatch.Work
	// unanswered counts attempts that were granted and ended without an answer.
	unanswered int
	// sent says that an attempt was sent and not refused, so that the request may have run.
	sent bool
}

func (e *Executor) newAttempts(w dispatch.Work) *attempts {
	e.retry.Deposit(w.Team, w.Pool)
	return &attempts{executor: e, work: w}
}

// admit waits for the next grant. A grant that comes after the end of the context is returned unused. When only
// excluded backend servers are left, they get another chance.
func (a *attempts) admit(ctx context.Context) (*grant, error) {
	attempt, err := a.ask(ctx)
	if len(a.work.Exclude) > 0 && isNoBackend(err) {
		a.work.Exclude = nil
		attempt, err = a.ask(ctx)
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

// ask queues the next attempt.
func (a *attempts) ask(ctx context.Context) (dispatch.Attempt, error) {
	a.work.Ref.Attempt++
	return a.executor.admitter.Admit(ctx, a.work)
}

func isNoBackend(err error) bool {
	var refused *dispatch.NotAdmittedError
	return errors.As(err, &refused) && refused.Reason == dispatch.NotAdmittedNoBackend
}

// again decides whether another attempt may follow and waits for its turn.
func (a *attempts) again(ctx context.Context) bool {
	a.unanswered++
	if a.unanswered >= maxAttempts || ctx.Err() != nil {
		return false
	}
	if !a.executor.retry.Allow(a.work.Team, a.work.Pool) {
		return false
	}
	return sleep(ctx, a.executor.retry.Backoff(a.unanswered+1))
}

// exclude leaves a backend server out of later attempts. The oldest of too many is forgotten.
func (a *attempts) exclude(server *object.BackendServer) {
	list := append([]ident.BackendID(nil), a.work.Exclude...)
	list = append(list, ident.BackendID(server.Name))
	if len(list) > maxExclude {
		list = list[len(list)-maxExclude:]
	}
	a.work.Exclude = list
}

// grant is a granted attempt that is settled once.
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

// sleep waits for d. It returns false at once when the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	return periodic.Sleep(ctx, d)
}

// earliest returns the earlier of the request's own deadline and the limit from now.
func earliest(own time.Time, limit time.Duration) time.Time {
	deadline := time.Now().Add(limit)
	if !own.IsZero() && own.Before(deadline) {
		return own
	}
	return deadline
}

func seconds(n int, fallback time.Duration) time.Duration {
	if n <= 0 {
		return fallback
	}
	return time.Duration(n) * time.Second
}
