package peer

import (
	"strconv"
	"strings"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// The identity of a member consists of its name, incarnation, peer address, caller address and domain, separated by NUL
// characters, which no name contains.
const (
	identitySeparator = "\x00"
	identityParts     = 5
	incarnationBase   = 36
)

// joinIdentity returns the identity of a member.
func joinIdentity(m membership.Member) string {
	incarnation := strconv.FormatUint(uint64(m.Incarnation), incarnationBase)
	parts := []string{string(m.ID), incarnation, m.PeerAddr, m.CallerAddr, string(m.Domain)}
	return strings.Join(parts, identitySeparator)
}

// splitIdentity returns a member with the fields contained in an identity.
func splitIdentity(identity string) (membership.Member, error) {
	parts := strings.Split(identity, identitySeparator)
	if len(parts) != identityParts {
		return membership.Member{}, errorAt("identity", ErrInvalidIdentity)
	}
	incarnation, err := strconv.ParseUint(parts[1], incarnationBase, 64)
	if err != nil {
		return membership.Member{}, errorAt("identity", ErrInvalidIdentity)
	}
	return membership.Member{
		ID: ident.RouterID(parts[0]), Incarnation: ident.Incarnation(incarnation), PeerAddr: parts[2],
		CallerAddr: parts[3], Domain: ident.DomainID(parts[4]),
	}, nil
}

// packShard joins the pool and the index of a shard to one name, so that one ring index replaces both after their first
// use. Shard index 0 is omitted.
func packShard(s ident.ShardID) wireName {
	if s.Index == 0 {
		return wireName{text: string(s.Pool)}
	}
	return wireName{text: string(s.Pool) + identitySeparator + strconv.FormatUint(uint64(s.Index), 10)}
}

// unpackShard reverses packShard. If the index is malformed, the NUL remains in the name of the pool, which validation
// rejects.
func unpackShard(n wireName) ident.ShardID {
	pool, index, found := strings.Cut(n.text, identitySeparator)
	if !found {
		return ident.ShardID{Pool: ident.PoolID(pool)}
	}
	i, err := strconv.ParseUint(index, 10, 16)
	if err != nil || i == 0 {
		return ident.ShardID{Pool: ident.PoolID(n.text)}
	}
	return ident.ShardID{Pool: ident.PoolID(pool), Index: uint16(i)}
}

// identityImpliedBy reports whether a member's identity can be omitted because it is that of the sender, without
// addresses and domain.
func identityImpliedBy(sender Endpoint, m membership.Member) bool {
	return m.ID == sender.Router && m.Incarnation == sender.Incarnation &&
		m.PeerAddr == "" && m.CallerAddr == "" && m.Domain == ""
}

// packMember converts a row of the member table to its wire form.
func packMember(m membership.Member, suspectMS uint32, sender Endpoint) wireMember {
	w := wireMember{
		Version: m.Version, Draining: m.Draining,
		Generation: uint64(m.Generation), Load: m.Load, SuspectMS: suspectMS,
	}
	if !identityImpliedBy(sender, m) {
		w.Identity = wireName{text: joinIdentity(m)}
	}
	if m.State != membership.Alive {
		w.State = uint8(m.State)
	}
	return w
}

// unpack reverses packMember.
func (w wireMember) unpack(sender Endpoint) (membership.Member, error) {
	m := membership.Member{ID: sender.Router, Incarnation: sender.Incarnation}
	var err error
	if w.Identity.text != "" {
		m, err = splitIdentity(w.Identity.text)
	}
	m.Version = w.Version
	m.State = membership.State(w.State)
	m.Draining = w.Draining
	m.Generation = ident.Generation(w.Generation)
	m.Load = w.Load
	if w.State == 0 {
		m.State = membership.Alive
	}
	return m, err
}
