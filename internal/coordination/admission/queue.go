package admission

import (
	"slices"
	"time"
)

// queue holds the waiting requests of one service by team.
type queue struct {
	teams map[string]*teamQueue
	size  int
	// pumped is the time of the last look at all requests.
	pumped time.Time
	// list is scratch memory for ordering.
	list []*teamQueue
	// rate is the service granted lately, in tokens per second, as a faded sum.
	rate   float64
	rateAt time.Time
}

// teamQueue holds the waiting requests of one team in order of arrival.
type teamQueue struct {
	name    string
	waiting []*Ticket
	cost    float64
	served  float64
}

func newQueue() *queue { return &queue{teams: make(map[string]*teamQueue)} }

func (t *teamQueue) head() *Ticket { return t.waiting[0] }

// engine reports whether the requests are for model engines.
func (t *teamQueue) engine() bool { return t.head().Service.Engine != nil }

func (q *queue) add(t *Ticket) {
	team := q.teams[t.Team]
	if team == nil {
		team = &teamQueue{name: t.Team}
		q.teams[t.Team] = team
	}
	i, _ := slices.BinarySearchFunc(team.waiting, t, func(a, b *Ticket) int {
		if a.Repeat != b.Repeat {
			if a.Repeat {
				return -1
			}
			return 1
		}
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return a.Arrival.Compare(b.Arrival)
	})
	team.waiting = slices.Insert(team.waiting, i, t)
	team.cost += t.cost
	q.size++
}

func (q *queue) remove(t *Ticket) {
	team := q.teams[t.Team]
	if team == nil {
		return
	}
	i := slices.Index(team.waiting, t)
	if i < 0 {
		return
	}
	team.waiting = slices.Delete(team.waiting, i, i+1)
	team.cost -= t.cost
	q.size--
	if len(team.waiting) == 0 {
		delete(q.teams, t.Team)
	}
}

// rateWindow is the time constant of the observed rate of grants.
const rateWindow = time.Second

// granted counts a grant in the observed rate.
func (q *queue) granted(now time.Time, t *Ticket) {
	q.rate = q.rateNow(now) + t.cost/rateWindow.Seconds()
	q.rateAt = now
}

func (q *queue) rateNow(now time.Time) float64 {
	age := now.Sub(q.rateAt)
	if age >= 4*rateWindow {
		return 0
	}
	return q.rate * max(0, 1-age.Seconds()/(4*rateWindow.Seconds()))
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
	if team == nil || len(team.waiting) < minBacklog {
		return 0, false
	}
	rate := q.rateNow(now)
	if rate <= 0 {
		return 0, false
	}
	wait := time.Duration(team.cost * float64(len(q.teams)) / rate * float64(time.Second))
	return wait, wait > time.Duration(queueShare*float64(t.refuseAt.Sub(now)))
}
