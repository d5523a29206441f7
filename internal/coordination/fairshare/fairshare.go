package fairshare

import (
	"math"
	"time"
)

// negligible is the service, in tokens, below which an account is forgotten.
const negligible = 1

// Part is what a team asked of one router and got from it, in faded tokens.
type Part struct {
	Served float64
	Asked  float64
	// Waiting says that requests of the team wait there.
	Waiting bool
}

// account is a part at a time.
type account struct {
	Part
	at time.Time
}

// faded returns the part at a later time.
func (a account) faded(now time.Time, constant time.Duration) Part {
	age := now.Sub(a.at)
	if age <= 0 {
		return a.Part
	}
	f := math.Exp(-age.Seconds() / constant.Seconds())
	return Part{Served: a.Served * f, Asked: a.Asked * f, Waiting: a.Waiting}
}

// Accounts hold what all teams asked and got. They are not safe for concurrent use.
type Accounts struct {
	constant time.Duration
	own      map[string]account
	peers    map[string]map[string]account
}

// New returns empty accounts. Amounts fade to 37% within the time constant.
func New(constant time.Duration) *Accounts {
	return &Accounts{
		constant: constant,
		own:      make(map[string]account),
		peers:    make(map[string]map[string]account),
	}
}

// Ask adds tokens that a team asked of this router.
func (a *Accounts) Ask(now time.Time, team string, tokens float64) {
	p := a.own[team].faded(now, a.constant)
	p.Asked += tokens
	a.own[team] = account{Part: p, at: now}
}

// Charge adds tokens that this router gave to a team. A negative amount takes service back.
func (a *Accounts) Charge(now time.Time, team string, tokens float64) {
	p := a.own[team].faded(now, a.constant)
	p.Served = max(p.Served+tokens, 0)
	a.own[team] = account{Part: p, at: now}
}

// Served returns a team's faded service in the whole fleet, in tokens.
func (a *Accounts) Served(now time.Time, team string) float64 {
	sum := a.own[team].faded(now, a.constant).Served
	for _, peer := range a.peers {
		sum += peer[team].faded(now, a.constant).Served
	}
	return sum
}

// Totals returns what all teams asked of the whole fleet and got. Waiting says that requests wait at other routers.
func (a *Accounts) Totals(now time.Time) map[string]Part {
	totals := make(map[string]Part, len(a.own))
	for team, acc := range a.own {
		totals[team] = acc.faded(now, a.constant)
	}
	for _, peer := range a.peers {
		for team, acc := range peer {
			p := acc.faded(now, a.constant)
			t := totals[team]
			totals[team] = Part{Served: t.Served + p.Served, Asked: t.Asked + p.Asked, Waiting: t.Waiting || p.Waiting}
		}
	}
	return totals
}

// Own returns this router's part, by team, and forgets teams without any.
func (a *Accounts) Own(now time.Time) map[string]Part {
	parts := make(map[string]Part, len(a.own))
	for team, acc := range a.own {
		p := acc.faded(now, a.constant)
		if p.Served+p.Asked < negligible {
			delete(a.own, team)
			continue
		}
		parts[team] = p
	}
	return parts
}

// SetPeer replaces the part of another router.
func (a *Accounts) SetPeer(now time.Time, router string, parts map[string]Part) {
	accounts := make(map[string]account, len(parts))
	for team, p := range parts {
		accounts[team] = account{Part: p, at: now}
	}
	a.peers[router] = accounts
}

// ForgetPeer drops the part of a router that is gone for good.
func (a *Accounts) ForgetPeer(router string) { delete(a.peers, router) }
