package fairshare

import (
	"math"
	"time"
)

// negligibleTokens is the sum of service and demand, in tokens, below which an account is dropped.
const negligibleTokens = 1

// Usage is the service and the demand of a team at one router, in decayed tokens.
type Usage struct {
	// Served is the service that the team received.
	Served float64
	// Asked is the service that the team requested.
	Asked float64
	// Waiting is set if requests of the team wait at the router.
	Waiting bool
}

// account is a team's usage at a time.
type account struct {
	Usage
	at time.Time
}

// decayed returns the usage decayed to a later time.
func (a account) decayed(now time.Time, timeConstant time.Duration) Usage {
	age := now.Sub(a.at)
	if age <= 0 {
		return a.Usage
	}
	factor := math.Exp(-age.Seconds() / timeConstant.Seconds())
	return Usage{Served: a.Served * factor, Asked: a.Asked * factor, Waiting: a.Waiting}
}

// Accounts holds the usage of all teams at this router and its peers. It is not safe for concurrent use.
type Accounts struct {
	timeConstant time.Duration
	own          map[string]account
	peers        map[string]map[string]account
}

// New returns empty accounts. Amounts decay to 37% (1/e) within the time constant.
func New(timeConstant time.Duration) *Accounts {
	return &Accounts{
		timeConstant: timeConstant,
		own:          make(map[string]account),
		peers:        make(map[string]map[string]account),
	}
}

// AddDemand adds tokens that a team requested from this router.
func (a *Accounts) AddDemand(now time.Time, team string, tokens float64) {
	u := a.own[team].decayed(now, a.timeConstant)
	u.Asked += tokens
	a.own[team] = account{Usage: u, at: now}
}

// Charge adds tokens that this router granted to a team. A negative amount refunds service.
func (a *Accounts) Charge(now time.Time, team string, tokens float64) {
	u := a.own[team].decayed(now, a.timeConstant)
	u.Served = max(u.Served+tokens, 0)
	a.own[team] = account{Usage: u, at: now}
}

// Served returns a team's service in the whole fleet, in decayed tokens.
func (a *Accounts) Served(now time.Time, team string) float64 {
	sum := a.own[team].decayed(now, a.timeConstant).Served
	for _, peer := range a.peers {
		sum += peer[team].decayed(now, a.timeConstant).Served
	}
	return sum
}

// Totals returns the usage of all teams in the whole fleet. Waiting is set if requests wait at another router.
func (a *Accounts) Totals(now time.Time) map[string]Usage {
	totals := make(map[string]Usage, len(a.own))
	for team, acc := range a.own {
		totals[team] = acc.decayed(now, a.timeConstant)
	}
	for _, peer := range a.peers {
		for team, acc := range peer {
			u := acc.decayed(now, a.timeConstant)
			total := totals[team]
			totals[team] = Usage{
				Served: total.Served + u.Served, Asked: total.Asked + u.Asked, Waiting: total.Waiting || u.Waiting,
			}
		}
	}
	return totals
}

// Own returns the usage at this router by team, and drops teams with negligible usage.
func (a *Accounts) Own(now time.Time) map[string]Usage {
	usage := make(map[string]Usage, len(a.own))
	for team, acc := range a.own {
		u := acc.decayed(now, a.timeConstant)
		if u.Served+u.Asked < negligibleTokens {
			delete(a.own, team)
			continue
		}
		usage[team] = u
	}
	return usage
}

// SetPeer replaces the usage at another router.
func (a *Accounts) SetPeer(now time.Time, router string, usage map[string]Usage) {
	accounts := make(map[string]account, len(usage))
	for team, u := range usage {
		accounts[team] = account{Usage: u, at: now}
	}
	a.peers[router] = accounts
}

// ForgetPeer drops the usage at a router that is gone for good.
func (a *Accounts) ForgetPeer(router string) { delete(a.peers, router) }
