package peer

import (
	"fmt"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// checker checks a message and keeps the first error.
type checker struct{ err error }

// fail records an error, unless there is an earlier one.
func (c *checker) fail(place string, err error) {
	if c.err == nil {
		c.err = errorAt(place, err)
	}
}

// require records an error if a condition does not hold.
func (c *checker) require(ok bool, place string, err error) {
	if !ok {
		c.fail(place, err)
	}
}

// optionalName checks a name that may be empty.
func (c *checker) optionalName(place, text string) {
	if err := checkName(place, text); err != nil && c.err == nil {
		c.err = err
	}
}

// requiredName checks a name that must not be empty.
func (c *checker) requiredName(place, text string) {
	c.require(text != "", place, ErrEmpty)
	c.optionalName(place, text)
}

// shardAndRef checks the shard and the attempt reference that most messages have.
func (c *checker) shardAndRef(s ident.ShardID, ref ident.AttemptRef) {
	c.requiredName("shard.pool", string(s.Pool))
	c.requiredName("ref.router", string(ref.Request.Router))
	c.require(ref.Attempt >= 1, "ref.attempt", ErrRange)
}

// validate checks the fields of a message. It is called before encoding and after decoding.
func validate(env Envelope) error {
	var c checker
	c.require(env.count() == 1, "message", ErrMessageCount)
	switch {
	case env.Enqueue != nil:
		c.enqueue(env.Enqueue)
	case env.Running != nil:
		c.shardAndRef(env.Running.Shard, env.Running.Ref)
		c.requiredName("team", string(env.Running.Team))
		c.requiredName("backend", string(env.Running.Backend))
		c.require(env.Running.Cost >= 0, "cost", ErrRange)
	case env.Cancel != nil:
		c.shardAndRef(env.Cancel.Shard, env.Cancel.Ref)
	case env.Grant != nil:
		c.shardAndRef(env.Grant.Shard, env.Grant.Ref)
		c.requiredName("backend", string(env.Grant.Backend))
	case env.Reject != nil:
		c.shardAndRef(env.Reject.Shard, env.Reject.Ref)
		reason := env.Reject.Reason
		c.require(reason >= message.RejectQueueFull && reason <= message.RejectNotOwner, "reason", ErrUnknown)
	case env.Redirect != nil:
		c.shardAndRef(env.Redirect.Shard, env.Redirect.Ref)
	case env.Progress != nil:
		c.shardAndRef(env.Progress.Shard, env.Progress.Ref)
		c.require(env.Progress.Cost >= 0, "cost", ErrRange)
	case env.Settle != nil:
		c.shardAndRef(env.Settle.Shard, env.Settle.Ref)
		c.require(env.Settle.Cost >= 0, "cost", ErrRange)
		result := env.Settle.Result
		c.require(result >= message.SettleUnused && result <= message.SettleRefused, "result", ErrUnknown)
	case env.ServiceDelta != nil:
		c.requiredName("shard.pool", string(env.ServiceDelta.Shard.Pool))
		c.requiredName("team", string(env.ServiceDelta.Team))
	case env.FreeSlots != nil:
		c.requiredName("shard.pool", string(env.FreeSlots.Shard.Pool))
	case env.Takeover != nil:
		c.requiredName("shard.pool", string(env.Takeover.Shard.Pool))
	case env.Membership != nil:
		c.packet(env.Membership)
	}
	if c.err == nil {
		return nil
	}
	return prefixPlace(env.Class().String(), c.err)
}

// enqueue checks an Enqueue.
func (c *checker) enqueue(m *message.Enqueue) {
	c.shardAndRef(m.Shard, m.Ref)
	c.requiredName("team", string(m.Team))
	c.optionalName("domain", string(m.Domain))
	c.require(m.Hint >= 0, "hint", ErrRange)
	c.require(len(m.Prefix) <= MaxPrefixHashes, "prefix", ErrTooLarge)
	c.require(len(m.Exclude) <= MaxExcludedBackends, "exclude", ErrTooLarge)
	for i, b := range m.Exclude {
		c.requiredName(elementPlace("exclude", i), string(b))
	}
}

// packet checks a membership packet.
func (c *checker) packet(p *membership.Packet) {
	c.require(p.Kind >= membership.Ping && p.Kind <= membership.PingReq, "kind", ErrUnknown)
	c.require(p.Kind != membership.PingReq || p.Target != "", "target", ErrEmpty)
	c.optionalName("target", string(p.Target))
	c.member("from", p.From)
	c.require(len(p.Updates) <= membership.MaxUpdates, "updates", ErrTooLarge)
	for i, u := range p.Updates {
		c.member(elementPlace("updates", i), u.Member)
	}
}

// member checks a row of the member table.
func (c *checker) member(place string, m membership.Member) {
	c.requiredName(place+".id", string(m.ID))
	c.optionalName(place+".peer_addr", m.PeerAddr)
	c.optionalName(place+".caller_addr", m.CallerAddr)
	c.optionalName(place+".domain", string(m.Domain))
	c.require(m.State >= membership.Alive && m.State <= membership.Left, place+".state", ErrUnknown)
	c.require(m.Incarnation < membership.MaxIncarnation, place+".incarnation", ErrRange)
}

// elementPlace returns the place of an element of a list.
func elementPlace(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }
