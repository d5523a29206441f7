package scheduler

import "gooseberrytide.example/gooseberrytide/internal/state/ident"

// notInHeap is the heap position of an element outside of its heap.
const notInHeap = -1

// liftHistory is the number of lifts that corrections look back over. A request that outlives more lifts is corrected
// past the last ones only.
const liftHistory = 4

// liftRecord describes a lift: the amount that the counter was raised, or its slack above the level when it was not.
type liftRecord struct {
	raised float64
	slack  float64
}

// team is the account and the queue of a team.
type team struct {
	id          ident.TeamID
	weight      float64
	maxQueued   int
	maxInFlight int

	// counter is the virtual counter, in weighted cost units.
	counter float64
	// lifts numbers the lifts; history holds the last ones by number.
	lifts   uint32
	history [liftHistory]liftRecord
	// joined says that the team was backlogged here before.
	joined bool
	// grants counts the grants of this scheduler.
	grants uint64

	// free holds requests that may run on each backend server; bound those that exclude some.
	free    requestHeap
	bound   requestHeap
	running int
	heapPos int
	// class holds the team while it is parked.
	class *parkedClass

	est estimator

	served     ident.Cost
	unreported ident.Cost
	dirty      bool
	// prepaid is the estimate of redirected requests that no service delta has confirmed yet.
	prepaid ident.Cost
}

func newTeam(id ident.TeamID) *team {
	t := &team{id: id, heapPos: notInHeap}
	t.setLimits(TeamLimits{})
	return t
}

func (t *team) setLimits(l TeamLimits) {
	t.weight = l.Weight
	if !(t.weight > 0) {
		t.weight = DefaultWeight
	}
	t.maxQueued = l.MaxQueued
	if t.maxQueued <= 0 {
		t.maxQueued = DefaultMaxQueued
	}
	t.maxInFlight = l.MaxInFlight
}

func (t *team) queued() int { return len(t.free) + len(t.bound) }

// capped says that the team has as many running requests as it may have.
func (t *team) capped() bool { return t.maxInFlight > 0 && t.running >= t.maxInFlight }

// lift raises the counter to at least level.
func (t *team) lift(level float64) {
	t.lifts++
	t.history[t.lifts%liftHistory] = liftRecord{raised: max(level-t.counter, 0), slack: max(t.counter-level, 0)}
	t.counter = max(t.counter, level)
}

// charge changes the counter by v for a request granted after the given lift. The result is as if v had been charged
// before the later lifts: otherwise a refund of an overcharged request would turn a lift into credit.
func (t *team) charge(v float64, lift uint32) {
	if t.lifts-lift > liftHistory {
		lift = t.lifts - liftHistory
	}
	for lift != t.lifts {
		lift++
		v = t.history[lift%liftHistory].pass(v)
	}
	t.counter += v
}

// pass returns the part of a change before the lift that remains after it.
func (l *liftRecord) pass(v float64) float64 {
	if v < 0 {
		rest := max(v, -l.slack)
		l.raised += rest - v
		v = rest
	} else {
		absorbed := min(v, l.raised)
		l.raised -= absorbed
		v -= absorbed
	}
	l.slack += v
	return v
}

// head returns the earliest queued request, or nil.
func (t *team) head() *request {
	switch {
	case len(t.free) == 0 && len(t.bound) == 0:
		return nil
	case len(t.free) == 0:
		return t.bound[0]
	case len(t.bound) == 0 || t.free[0].earlier(t.bound[0]):
		return t.free[0]
	default:
		return t.bound[0]
	}
}

func (t *team) queueOf(r *request) *requestHeap {
	if r.excludes > 0 {
		return &t.bound
	}
	return &t.free
}

// estimator learns the costs of a team's requests.
type estimator struct {
	hints float64
	costs float64
	mean  float64
}

// estimate returns the expected cost of a request with the given hint. fallback, the mean cost in the pool, is used
// before anything was learned. Hints may be ten times off, and a team that starts with many requests would be charged
// for all of them before the first one settles; so a hint counts only after its team's ratio is known.
func (e *estimator) estimate(hint ident.Cost, fallback float64) ident.Cost {
	if hint > 0 && (e.hints > 0 || fallback <= 0) {
		return clampCost(float64(hint) * e.ratio())
	}
	if e.mean > 0 {
		return clampCost(e.mean)
	}
	if fallback > 0 {
		return clampCost(fallback)
	}
	return unknownCost
}

// ratio returns the learned ratio of actual cost to hint.
func (e *estimator) ratio() float64 {
	if e.hints <= 0 {
		return 1
	}
	return min(max(e.costs/e.hints, ratioMin), ratioMax)
}

// learn takes in the cost of a completed request. The ratio is one of sums, so that the charges of many requests add up
// to their costs.
func (e *estimator) learn(hint, cost ident.Cost) {
	if hint > 0 {
		e.hints = e.hints*learnDecay + float64(hint)
		e.costs = e.costs*learnDecay + float64(cost)
	}
	e.mean = decayed(e.mean, float64(cost))
}

// decayed returns the moving mean after a new value. A mean of 0 means that there is none yet.
func decayed(mean, v float64) float64 {
	if mean == 0 {
		return v
	}
	return mean*learnDecay + v*(1-learnDecay)
}

func clampCost(v float64) ident.Cost {
	return ident.Cost(min(max(v, 1), float64(maxCost)))
}

func boundCost(c ident.Cost) ident.Cost { return min(max(c, 0), maxCost) }
