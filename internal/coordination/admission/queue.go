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
	// service is that of the request that came last.
	service *routing.Service
	teams   map[string]*teamQueue
	size    int
	// pumped is the time of the last look at all requests.
	pumped time.Time
	// list is scratch memory for ordering.
	list []*teamQueue
	// granted is the service granted lately, grantedTo that of each flow.
	granted   grantRate
	grantedTo map[flow]*grantRate
}

// teamQueue holds the waiting requests of one team by kind.
type teamQueue struct {
	name   string
	kinds  []*kindQueue
	size   int
	cost   float64
	served float64
}

// kindQueue holds the waiting requests of one kind of a team: repeats first, then the more urgent, then by arrival.
type kindQueue struct {
	name    string
	waiting []*Ticket
	// granted is the service that the kind was granted lately.
	granted float64
}

func newQueue() *queue {
	return &queue{teams: make(map[string]*teamQueue), grantedTo: make(map[flow]*grantRate)}
}

// flow is a kind of requests of a team.
type flow struct{ team, kind string }

func flowOf(t *Ticket) flow { return flow{team: t.Team, kind: t.Kind} }

// heads returns the first request of each kind in the order in which they are to be granted: repeats first, then the more
// urgent, then the kinds with the least service. The kinds of a team so share what the team gets. In order of arrival, a
// kind whose objective is short would never reach the head of a long queue in time.
func (t *teamQueue) heads(now time.Time, granted map[flow]*grantRate) []*Ticket {
	for _, kind := range t.kinds {
		kind.granted = 0
		if rate := granted[flow{t.name, kind.name}]; rate != nil {
			kind.granted = rate.now(now)
		}
	}
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

// comparePrecedence orders repeats before others, and the more urgent before the less urgent.
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

// all returns the waiting requests of all kinds.
func (t *teamQueue) all() []*Ticket {
	list := make([]*Ticket, 0, t.size)
	for _, kind := range t.kinds {
		list = append(list, kind.waiting...)
	}
	return list
}

func (t *teamQueue) kindOf(name string) *kindQueue {
	i := slices.IndexFunc(t.kinds, func(k *kindQueue) bool { return k.name == name })
	if i < 0 {
		return nil
	}
	return t.kinds[i]
}

// engine reports whether the requests are for model engines.
func (q *queue) engine() bool { return q.service != nil && q.service.Engine != nil }

func (q *queue) add(t *Ticket) {
	q.service = t.Service
	team := q.teams[t.Team]
	if team == nil {
		team = &teamQueue{name: t.Team}
		q.teams[t.Team] = team
	}
	kind := team.kindOf(t.Kind)
	if kind == nil {
		kind = &kindQueue{name: t.Kind}
		team.kinds = append(team.kinds, kind)
	}
	i, _ := slices.BinarySearchFunc(kind.waiting, t, func(a, b *Ticket) int {
		return cmp.Or(comparePrecedence(a, b), a.Arrival.Compare(b.Arrival))
	})
	kind.waiting = slices.Insert(kind.waiting, i, t)
	team.cost += t.cost
	team.size++
	q.size++
}

func (q *queue) remove(t *Ticket) {
	team := q.teams[t.Team]
	if team == nil {
		return
	}
	kind := team.kindOf(t.Kind)
	if kind == nil {
		return
	}
	i := slices.Index(kind.waiting, t)
	if i < 0 {
		return
	}
	kind.waiting = slices.Delete(kind.waiting, i, i+1)
	team.cost -= t.cost
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

// grantRate is the service granted lately, in tokens per second, as a faded sum.
type grantRate struct {
	rate float64
	at   time.Time
}

func (r *grantRate) add(now time.Time, tokens float64) {
	r.rate = r.now(now) + tokens/rateWindow.Seconds()
	r.at = now
}

func (r *grantRate) now(now time.Time) float64 {
	age := now.Sub(r.at)
	if age >= 4*rateWindow {
		return 0
	}
	return r.rate * max(0, 1-age.Seconds()/(4*rateWindow.Seconds()))
}

// maxFlows is the number of flows from which idle ones are forgotten.
const maxFlows = 4096

// grant counts a grant in the observed rates.
func (q *queue) grant(now time.Time, t *Ticket) {
	q.granted.add(now, t.cost)
	f := flowOf(t)
	rate := q.grantedTo[f]
	if rate == nil {
		if len(q.grantedTo) >= maxFlows {
			maps.DeleteFunc(q.grantedTo, func(_ flow, r *grantRate) bool { return r.now(now) == 0 })
		}
		rate = &grantRate{}
		q.grantedTo[f] = rate
	}
	rate.add(now, t.cost)
}

const (
	// minBacklog is the number of a team's waiting requests from which its wait is predicted.
	minBacklog = 1
	// queueShare is the part of the longest wait for which a team beyond its share may queue. A longer queue would give
	// all of its requests the longest wait and serve no more of them.
	queueShare = 0.35
)

// hopeless predicts whether a new request of a team beyond its share would wait too long. It returns the expected wait.
// The team gets an equal part of the observed rate among the teams that wait.
func (q *queue) hopeless(now time.Time, t *Ticket) (time.Duration, bool) {
	team := q.teams[t.Team]
	if team == nil || team.size < minBacklog {
		return 0, false
	}
	rate := q.granted.now(now)
	if rate <= 0 {
		return 0, false
	}
	wait := time.Duration(team.cost * float64(len(q.teams)) / rate * float64(time.Second))
	return wait, wait > time.Duration(queueShare*float64(t.refuseAt.Sub(now)))
}
