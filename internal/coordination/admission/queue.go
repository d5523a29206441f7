package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// queue holds the waiting requests of one service by team.
type queue struct {
	// service is the service as in the request that was added last.
	service *routing.Service
	teams   map[string]*teamQueue
	size    int
	// lastScan is the time of the last scan of all requests.
	lastScan time.Time
	// scratch is reused memory for sorting the teams.
	scratch []*teamQueue
	// granted is the recent rate of granted service; grantedByFlow is that of each flow.
	granted       grantRate
	grantedByFlow map[flow]*grantRate
	// permits is the recent rate of permits of servers with a limit. lastReturn is the latest time at which a client that
	// was refused because of limits may return.
	permits    grantRate
	lastReturn time.Time
	// askedByFlow is the recent rate of service that each flow asked for. bounds are the strictest bounds of the recent
	// requests. observed is set if the service is scheduled by observed speeds.
	askedByFlow map[flow]*grantRate
	bounds      serviceBounds
	observed    bool
	// meanCost is a moving average of the cost of new requests, in tokens.
	meanCost float64
}

// teamQueue holds the waiting requests of one team by kind.
type teamQueue struct {
	name  string
	kinds []*kindQueue
	size  int
	// served is the service that the team has received, in decayed tokens.
	served float64
}

// kindQueue holds the waiting requests of one kind of a team: repeats first, then by priority, then by arrival.
type kindQueue struct {
	name    string
	waiting []*Ticket
	// cost is the total cost of the waiting requests, in tokens.
	cost float64
	// granted is the recent rate of service granted to the kind, in tokens per second, or as a fraction of what the kind
	// asked for.
	granted float64
}

func newQueue() *queue {
	return &queue{teams: make(map[string]*teamQueue), grantedByFlow: make(map[flow]*grantRate),
		askedByFlow: make(map[flow]*grantRate)}
}

// flow identifies the requests of one kind of a team.
type flow struct{ team, kind string }

func flowOf(t *Ticket) flow { return flow{team: t.Team, kind: t.Kind} }

// heads returns the first request of each kind in the order in which they are to be granted: repeats first, then by
// priority, then the kinds with the least recent service. The kinds of a team thereby share the team's service. In
// order of arrival, requests of a kind with a short objective would never reach the head of a long queue in time.
func (t *teamQueue) heads(now time.Time, rates map[flow]*grantRate) []*Ticket {
	for _, kind := range t.kinds {
		kind.granted = 0
		if rate := rates[flow{t.name, kind.name}]; rate != nil {
			kind.granted = rate.current(now)
		}
	}
	return t.sortedHeads()
}

// sortedHeads returns the first request of each kind: repeats first, then by priority, then the kinds to which least was
// granted.
func (t *teamQueue) sortedHeads() []*Ticket {
	slices.SortFunc(t.kinds, func(a, b *kindQueue) int {
		return cmp.Or(
			comparePrecedence(a.waiting[0], b.waiting[0]),
			cmp.Compare(a.granted, b.granted),
			cmp.Compare(a.name, b.name),
		)
	})
	heads := make([]*Ticket, len(t.kinds))
	for i, kind := range t.kinds {
		heads[i] = kind.waiting[0]
	}
	return heads
}

// comparePrecedence orders repeats before other requests, then by ascending priority value: lower values go first.
func comparePrecedence(a, b *Ticket) int {
	switch {
	case a.Repeat && !b.Repeat:
		return -1
	case b.Repeat && !a.Repeat:
		return 1
	default:
		return cmp.Compare(a.Priority, b.Priority)
	}
}

// tickets returns the waiting requests of all kinds.
func (t *teamQueue) tickets() []*Ticket {
	list := make([]*Ticket, 0, t.size)
	for _, kind := range t.kinds {
		list = append(list, kind.waiting...)
	}
	return list
}

func (t *teamQueue) findKind(name string) *kindQueue {
	i := slices.IndexFunc(t.kinds, func(k *kindQueue) bool { return k.name == name })
	if i < 0 {
		return nil
	}
	return t.kinds[i]
}

// forEngines reports whether the requests are for model engines.
func (q *queue) forEngines() bool { return q.service != nil && q.service.Engine != nil }

// meanCostSmoothing is the weight of a new request in the moving average of costs.
const meanCostSmoothing = 0.02

// recordArrival adds a new request to the moving average of costs.
func (q *queue) recordArrival(cost float64) {
	if q.meanCost == 0 {
		q.meanCost = cost
		return
	}
	q.meanCost += meanCostSmoothing * (cost - q.meanCost)
}

func (q *queue) add(t *Ticket) {
	q.service = t.Service
	team := q.teams[t.Team]
	if team == nil {
		team = &teamQueue{name: t.Team}
		q.teams[t.Team] = team
	}
	kind := team.findKind(t.Kind)
	if kind == nil {
		kind = &kindQueue{name: t.Kind}
		team.kinds = append(team.kinds, kind)
	}
	i, _ := slices.BinarySearchFunc(kind.waiting, t, func(a, b *Ticket) int {
		return cmp.Or(comparePrecedence(a, b), a.Arrival.Compare(b.Arrival))
	})
	kind.waiting = slices.Insert(kind.waiting, i, t)
	kind.cost += t.cost
	team.size++
	q.size++
}

func (q *queue) remove(t *Ticket) {
	team := q.teams[t.Team]
	if team == nil {
		return
	}
	kind := team.findKind(t.Kind)
	if kind == nil {
		return
	}
	i := slices.Index(kind.waiting, t)
	if i < 0 {
		return
	}
	kind.waiting = slices.Delete(kind.waiting, i, i+1)
	kind.cost -= t.cost
	team.size--
	q.size--
	if len(kind.waiting) == 0 {
		team.kinds = slices.DeleteFunc(team.kinds, func(k *kindQueue) bool { return k == kind })
	}
	if team.size == 0 {
		delete(q.teams, t.Team)
	}
}

// rateWindow is the time constant of the observed rate of grants.
const rateWindow = time.Second

// grantRate is the recent rate of granted service, in tokens per second. It decays linearly to 0 within four windows.
type grantRate struct {
	rate float64
	at   time.Time
}

func (r *grantRate) add(now time.Time, tokens float64) {
	r.rate = r.current(now) + tokens/rateWindow.Seconds()
	r.at = now
}

func (r *grantRate) current(now time.Time) float64 {
	age := now.Sub(r.at)
	if age >= 4*rateWindow {
		return 0
	}
	return r.rate * max(0, 1-age.Seconds()/(4*rateWindow.Seconds()))
}

// maxFlows is the number of flows from which the rates of idle ones are dropped.
const maxFlows = 4096

// recordGrant adds a grant to the observed rates.
func (q *queue) recordGrant(now time.Time, t *Ticket) {
	q.granted.add(now, t.cost)
	addToFlow(now, q.grantedByFlow, t)
}

// addToFlow adds the cost of a request to the rate of its flow.
func addToFlow(now time.Time, rates map[flow]*grantRate, t *Ticket) {
	f := flowOf(t)
	rate := rates[f]
	if rate == nil {
		if len(rates) >= maxFlows {
			maps.DeleteFunc(rates, func(_ flow, r *grantRate) bool { return r.current(now) == 0 })
		}
		rate = &grantRate{}
		rates[f] = rate
	}
	rate.add(now, t.cost)
}

// expectedWait returns the time in which the waiting requests of a team's kind are granted if the given number of teams
// share the observed rate of grants equally. The kinds of a team share the team's part equally, or in proportion to what
// they asked for if the service is scheduled by observed speeds, until they have no more requests. It returns false if no
// request of the kind waits or the rate is not known.
func (q *queue) expectedWait(now time.Time, f flow, teams int) (time.Duration, bool) {
	team := q.teams[f.team]
	rate := q.granted.current(now)
	if team == nil || rate <= 0 {
		return 0, false
	}
	kind := team.findKind(f.kind)
	if kind == nil {
		return 0, false
	}
	grantedBefore := 0.0
	for _, other := range team.kinds {
		grantedBefore += min(other.cost, kind.cost*q.shareRatio(now, team.name, other.name, kind.name))
	}
	return time.Duration(grantedBefore * float64(teams) / rate * float64(time.Second)), true
}
