package peer

import (
	"fmt"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// checker keeps the first fault of a message.
type checker struct{ err error }

// fail records a fault.
func (c *checker) fail(place string, err error) {
	if c.err == nil {
		c.err = at(place, err)
	}
}

// require records a fault unless a condition holds.
func (c *checker) require(ok bool, place string, err error) {
	if !ok {
		c.fail(place, err)
	}
}

// name checks an optional name.
func (c *checker) name(place, text string) {
	if err := checkName(place, text); err != nil && c.err == nil {
		c.err = err
	}
}

// needed checks a name that must not be empty.
func (c *checker) needed(place, text string) {
	c.require(text != "", place, ErrEmpty)
	c.name(place, text)
}

// head checks the shard and the reference.
func (c *checker) head(s ident.ShardID, ref ident.AttemptRef) {
	c.needed("shard.pool", string(s.Pool))
	c.needed("ref.router", string(ref.Request.Router))
	c.require(ref.Attempt >= 1, "ref.attempt", ErrRange)
}

// validate checks the limits of a message. It runs before encoding and after decoding.
func validate(env Envelope) error {
	var c checker
	c.require(env.count() == 1, "message", ErrNotOne)
	switch {
	case env.Enqueue != nil:
		c.enqueue(env.Enqueue)
	case env.Running != nil:
		c.head(env.Running.Shard, env.Running.Ref)
		c.needed("team", string(env.Running.Team))
		c.needed("backend", string(env.Running.Backend))
		c.require(env.Running.Cost >= 0, "cost", ErrRange)
	case env.Cancel != nil:
		c.head(env.Cancel.Shard, env.Cancel.Ref)
	case env.Grant != nil:
		c.head(env.Grant.Shard, env.Grant.Ref)
		c.needed("backend", string(env.Grant.Backend))
	case env.Reject != nil:
		c.head(env.Reject.Shard, env.Reject.Ref)
		reason := env.Reject.Reason
		c.require(reason >= message.RejectQueueFull && reason <= message.RejectNotOwner, "reason", ErrUnknown)
	case env.Redirect != nil:
		c.head(env.Redirect.Shard, env.Redirect.Ref)
	case env.Progress != nil:
		c.head(env.Progress.Shard, env.Progress.Ref)
		c.require(env.Progress.Cost >= 0, "cost", ErrRange)
	case env.Settle != nil:
		c.head(env.Settle.Shard, env.Settle.Ref)
		c.require(env.Settle.Cost >= 0, "cost", ErrRange)
		result := env.Settle.Result
		c.require(result >= message.SettleUnused && result <= message.SettleRefused, "result", ErrUnknown)
	case env.ServiceDelta != nil:
		c.needed("shard.pool", string(env.ServiceDelta.Shard.Pool))
		c.needed("team", string(env.ServiceDelta.Team))
	case env.FreeSlots != nil:
		c.needed("shard.pool", string(env.FreeSlots.Shard.Pool))
	case env.Takeover != nil:
		c.needed("shard.pool", string(env.Takeover.Shard.Pool))
	case env.Membership != nil:
		c.packet(env.Membership)
	}
	if c.err == nil {
		return nil
	}
	return inside(env.Class().String(), c.err)
}

// enqueue checks an Enqueue.
func (c *checker) enqueue(m *message.Enqueue) {
	c.head(m.Shard, m.Ref)
	c.needed("team", string(m.Team))
	c.name("domain", string(m.Domain))
	c.require(m.Hint >= 0, "hint", ErrRange)
	c.require(len(m.Prefix) <= MaxPrefix, "prefix", ErrTooLarge)
	c.require(len(m.Exclude) <= MaxExclude, "exclude", ErrTooLarge)
	for i, b := range m.Exclude {
		c.needed(place("exclude", i), string(b))
	}
}

// packet checks a membership packet.
func (c *checker) packet(p *membership.Packet) {
	c.require(p.Kind >= membership.Ping && p.Kind <= membership.PingReq, "kind", ErrUnknown)
	c.require(p.Kind != membership.PingReq || p.Target != "", "target", ErrEmpty)
	c.name("target", string(p.Target))
	c.member("from", p.From)
	c.require(len(p.Updates) <= membership.MaxUpdates, "updates", ErrTooLarge)
	for i, u := range p.Updates {
		c.member(place("updates", i), u.Member)
	}
}

// member checks a row.
func (c *checker) member(at string, m membership.Member) {
	c.needed(at+".id", string(m.ID))
	c.name(at+".peer_addr", m.PeerAddr)
	c.name(at+".caller_addr", m.CallerAddr)
	c.name(at+".domain", string(m.Domain))
	c.require(m.State >= membership.Alive && m.State <= membership.Left, at+".state", ErrUnknown)
	c.require(m.Incarnation < membership.MaxIncarnation, at+".incarnation", ErrRange)
}

// place names an element of a list.
func place(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }
