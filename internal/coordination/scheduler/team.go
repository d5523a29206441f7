package scheduler

import "gooseberrytide.example/gooseberrytide/internal/state/ident"

// notInHeap is the heap position of an element outside of its heap.
const notInHeap = -1

// team is the account and the queue of a team.
//
// The virtual counter is max(before, level) + after. A lift sets level. Corrections of requests granted before the
// lift change only the part before, so that a refund cannot undo the lift.
type team struct {
	id          ident.TeamID
	weight      float64
	maxQueued   int
	maxInFlight int

	before float64
	level  float64
	after  float64
	// lifts numbers the lifts. A request granted under another number belongs to the part before.
	lifts uint32
	// keepCounter suppresses the next lift, after a hand-over.
	keepCounter bool
	// grants counts the grants of this scheduler.
	grants uint64

	// free holds requests that may run on each backend server; bound those that exclude some.
	free    requestHeap
	bound   requestHeap
	running int
	heapPos int

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

func (t *team) counter() float64 { return max(t.before, t.level) + t.after }

func (t *team) queued() int { return len(t.free) + len(t.bound) }

// capped says that the team has as many running requests as it may have.
func (t *team) capped() bool { return t.maxInFlight > 0 && t.running >= t.maxInFlight }

// lift raises the counter to at least level.
func (t *team) lift(level float64) {
	t.before = t.counter()
	t.level = level
	t.after = 0
	t.lifts++
}

// add changes the counter by the cost of a request granted under the given lift number.
func (t *team) add(cost ident.Cost, lifts uint32) {
	v := float64(cost) / t.weight
	if lifts == t.lifts {
		t.after += v
	} else {
		t.before += v
	}
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

// estimate returns the expected cost of a request with the given hint. fallback is used before anything was learned.
func (e *estimator) estimate(hint ident.Cost, fallback float64) ident.Cost {
	if hint > 0 {
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
