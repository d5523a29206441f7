package scheduler

import "gooseberrytide.example/gooseberrytide/internal/state/ident"

// notInHeap is the position of an element that is in no heap.
const notInHeap = -1

// liftHistory is the number of most recent lifts that a correction of a charge takes into account. For a request that
// spans more lifts, the earlier ones are disregarded.
const liftHistory = 4

// liftRecord describes a lift: the amount by which the counter was raised, or, if it was not raised, its slack above
// the level.
type liftRecord struct {
	raised float64
	slack  float64
}

// team holds the account and the queue of a team.
type team struct {
	id          ident.TeamID
	weight      float64
	maxQueued   int
	maxInFlight int

	// counter is the virtual counter, in weighted cost units.
	counter float64
	// lifts is the number of lifts so far; history holds the most recent ones, indexed by number modulo liftHistory.
	lifts   uint32
	history [liftHistory]liftRecord
	// wasReady reports whether the team has been in the ready queue before.
	wasReady bool
	// grants is the number of grants made by this scheduler.
	grants uint64

	// unrestricted holds queued requests that may run on any backend server, restricted those that exclude some.
	unrestricted requestHeap
	restricted   requestHeap
	running      int
	heapPos      int
	// group is the parked group that contains the team; nil while the team is not parked.
	group *parkedGroup

	estimator estimator

	// served is the cost that ingress routers have reported.
	served ident.Cost
	// pendingDelta is the change of charge that no service delta has told the siblings of yet.
	pendingDelta ident.Cost
	// dirty reports whether the team is in serviceExchange.dirty.
	dirty bool
	// redirectCharge is the estimated cost that was charged for redirected requests and that no service delta has
	// confirmed yet.
	redirectCharge ident.Cost
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

func (t *team) queued() int { return len(t.unrestricted) + len(t.restricted) }

// capped reports whether the team has reached its in-flight limit.
func (t *team) capped() bool { return t.maxInFlight > 0 && t.running >= t.maxInFlight }

// lift raises the counter to level if it is lower.
func (t *team) lift(level float64) {
	t.lifts++
	t.history[t.lifts%liftHistory] = liftRecord{raised: max(level-t.counter, 0), slack: max(t.counter-level, 0)}
	t.counter = max(t.counter, level)
}

// charge adds v to the counter for a request that was granted after the given lift. The result is the same as if v had
// been added before the later lifts. Otherwise the refund of an overcharged request would turn a lift into credit.
func (t *team) charge(v float64, lift uint32) {
	if t.lifts-lift > liftHistory {
		lift = t.lifts - liftHistory
	}
	for lift != t.lifts {
		lift++
		v = t.history[lift%liftHistory].propagate(v)
	}
	t.counter += v
}

// propagate updates the record as if the counter had changed by v before the lift, and returns the resulting change of
// the counter after the lift.
func (l *liftRecord) propagate(v float64) float64 {
	if v < 0 {
		remaining := max(v, -l.slack)
		l.raised += remaining - v
		v = remaining
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
	case len(t.unrestricted) == 0 && len(t.restricted) == 0:
		return nil
	case len(t.unrestricted) == 0:
		return t.restricted[0]
	case len(t.restricted) == 0 || t.unrestricted[0].arrivedBefore(t.restricted[0]):
		return t.unrestricted[0]
	default:
		return t.restricted[0]
	}
}

func (t *team) queueOf(r *request) *requestHeap {
	if r.excludeCount > 0 {
		return &t.restricted
	}
	return &t.unrestricted
}

// estimator predicts the cost of a team's requests from their hints and the costs of completed requests.
type estimator struct {
	hintSum  float64
	costSum  float64
	meanCost float64
}

// estimate returns the expected cost of a request with the given hint. fallback, the mean cost in the pool or 0 if
// unknown, is used before anything was learned about the team. Hints may be wrong by a factor of ten, and a team that
// starts with many requests would be charged for all of them before the first one settles. A hint is therefore used
// only once the team's ratio is known, or if there is no fallback.
func (e *estimator) estimate(hint ident.Cost, fallback float64) ident.Cost {
	if hint > 0 && (e.hintSum > 0 || fallback <= 0) {
		return clampEstimate(float64(hint) * e.ratio())
	}
	if e.meanCost > 0 {
		return clampEstimate(e.meanCost)
	}
	if fallback > 0 {
		return clampEstimate(fallback)
	}
	return defaultCost
}

// ratio returns the learned ratio of actual cost to hint.
func (e *estimator) ratio() float64 {
	if e.hintSum <= 0 {
		return 1
	}
	return min(max(e.costSum/e.hintSum, ratioMin), ratioMax)
}

// learn adds a completed request to the moving sums and the moving mean. The ratio is a quotient of sums, so that over
// many requests the sum of the charges approaches the sum of the costs.
func (e *estimator) learn(hint, cost ident.Cost) {
	if hint > 0 {
		e.hintSum = e.hintSum*learnDecay + float64(hint)
		e.costSum = e.costSum*learnDecay + float64(cost)
	}
	e.meanCost = movingMean(e.meanCost, float64(cost))
}

// movingMean returns the exponentially weighted mean after a new value. A mean of 0 means that there is no value yet.
func movingMean(mean, v float64) float64 {
	if mean == 0 {
		return v
	}
	return mean*learnDecay + v*(1-learnDecay)
}

func clampEstimate(v float64) ident.Cost {
	return ident.Cost(min(max(v, 1), float64(maxCost)))
}

func clampMessageCost(c ident.Cost) ident.Cost { return min(max(c, 0), maxCost) }
