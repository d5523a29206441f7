package fairshare

import (
	"math"
	"time"
)

// negligible is the service, in tokens, below which an account is forgotten.
const negligible = 1

// Account is faded service at a time.
type account struct {
	amount float64
	at     time.Time
}

// faded returns the amount at a later time.
func (a account) faded(now time.Time, constant time.Duration) float64 {
	age := now.Sub(a.at)
	if age <= 0 {
		return a.amount
	}
	return a.amount * math.Exp(-age.Seconds()/constant.Seconds())
}

// Accounts hold the service of all teams. They are not safe for concurrent use.
type Accounts struct {
	constant time.Duration
	own      map[string]account
	peers    map[string]map[string]account
}

// New returns empty accounts. Service fades to 37% within the time constant.
func New(constant time.Duration) *Accounts {
	return &Accounts{
		constant: constant,
		own:      make(map[string]account),
		peers:    make(map[string]map[string]account),
	}
}

// Charge adds service, in tokens, that this router gave to a team. A negative amount takes service back.
func (a *Accounts) Charge(now time.Time, team string, tokens float64) {
	amount := a.own[team].faded(now, a.constant) + tokens
	a.own[team] = account{amount: max(amount, 0), at: now}
}

// Served returns a team's faded service in the whole fleet, in tokens.
func (a *Accounts) Served(now time.Time, team string) float64 {
	sum := a.own[team].faded(now, a.constant)
	for _, peer := range a.peers {
		sum += peer[team].faded(now, a.constant)
	}
	return sum
}

// Own returns the service that this router gave, by team, and forgets teams without any.
func (a *Accounts) Own(now time.Time) map[string]float64 {
	sums := make(map[string]float64, len(a.own))
	for team, acc := range a.own {
		amount := acc.faded(now, a.constant)
		if amount < negligible {
			delete(a.own, team)
			continue
		}
		sums[team] = amount
	}
	return sums
}

// SetPeer replaces the sums of another router.
func (a *Accounts) SetPeer(now time.Time, router string, sums map[string]float64) {
	accounts := make(map[string]account, len(sums))
	for team, amount := range sums {
		accounts[team] = account{amount: amount, at: now}
	}
	a.peers[router] = accounts
}

// ForgetPeer drops the sums of a router that is gone for good.
func (a *Accounts) ForgetPeer(router string) { delete(a.peers, router) }
