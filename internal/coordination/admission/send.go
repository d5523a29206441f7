package admission

import "time"

// Withdrawal is why a granted request is not sent to its server. It is empty if the request may be sent.
type Withdrawal string

const (
	// WithdrawalEnded means that the request is no longer granted.
	WithdrawalEnded Withdrawal = "ended"
	// WithdrawalGone means that the server's service no longer has it.
	WithdrawalGone Withdrawal = "gone"
	// WithdrawalReplaced means that the server has started again.
	WithdrawalReplaced Withdrawal = "replaced"
	// WithdrawalEjected means that the server has been ejected since the grant.
	WithdrawalEjected Withdrawal = "ejected"
	// WithdrawalLeaving means that the server drains or has announced that it leaves.
	WithdrawalLeaving Withdrawal = "leaving"
	// WithdrawalEvacuated means that the server's failure domain is evacuated.
	WithdrawalEvacuated Withdrawal = "evacuated"
	// WithdrawalPaused means that the server has asked for a pause.
	WithdrawalPaused Withdrawal = "paused"
	// WithdrawalPermit means that the server has a limit of requests a second and that there is no valid permit.
	WithdrawalPermit Withdrawal = "permit"
)

// MaySend reports whether a granted request may be sent now. If it may not, the ticket tells why. clock is the time on a
// clock that includes suspension.
func (c *Core) MaySend(now time.Time, clock time.Duration, t *Ticket) bool {
	t.withdrawal = c.withdrawal(now, clock, t)
	if t.withdrawal != "" {
		return false
	}
	t.sent = true
	return true
}

// withdrawal returns why a request may not be sent now. It goes by what is known of the server now and not by the ticket's
// copy, which is as old as the grant.
func (c *Core) withdrawal(now time.Time, clock time.Duration, t *Ticket) Withdrawal {
	if t.state != ticketGranted {
		return WithdrawalEnded
	}
	server := c.servers.InService(t.server.Service, t.server.ID)
	switch {
	case server == nil:
		return WithdrawalGone
	case !server.SameStart(t.server):
		return WithdrawalReplaced
	case c.drains.Draining(server):
		return WithdrawalLeaving
	case c.evacuated(server):
		return WithdrawalEvacuated
	case now.Before(c.reopensAt(server)):
		return WithdrawalPaused
	case c.health[server.ID].ejectedFor(now, t.probe):
		return WithdrawalEjected
	case !c.permitted(now, clock, t):
		return WithdrawalPermit
	default:
		return ""
	}
}

// permitted reports whether the request needs no permit or has a valid one.
func (c *Core) permitted(now time.Time, clock time.Duration, t *Ticket) bool {
	if _, limited := c.rate(now, t.server.ID); !limited || t.permit.valid(clock) {
		return true
	}
	if t.permit.held() {
		c.permitCounts.Lapsed++
		t.permit = permit{} // its owner no longer counts it as unused
	}
	return false
}

// Withdrawal returns why the request was not sent when that was last asked.
func (t *Ticket) Withdrawal() Withdrawal { return t.withdrawal }
