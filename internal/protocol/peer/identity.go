package peer

import (
	"strconv"
	"strings"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// An identity is a member's name, incarnation, peer address, caller address and domain, joined by a NUL, which no name
// contains.
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

// splitIdentity restores the identity of a member.
func splitIdentity(text string) (membership.Member, error) {
	parts := strings.Split(text, identitySeparator)
	if len(parts) != identityParts {
		return membership.Member{}, at("identity", ErrIdentity)
	}
	incarnation, err := strconv.ParseUint(parts[1], incarnationBase, 64)
	if err != nil {
		return membership.Member{}, at("identity", ErrIdentity)
	}
	return membership.Member{
		ID: ident.RouterID(parts[0]), Incarnation: ident.Incarnation(incarnation), PeerAddr: parts[2],
		CallerAddr: parts[3], Domain: ident.DomainID(parts[4]),
	}, nil
}

// packShard joins a pool and a shard's index, so that both travel as one index after their first use. Index 0 is left
// out.
func packShard(s ident.ShardID) name {
	if s.Index == 0 {
		return name{text: string(s.Pool)}
	}
	return name{text: string(s.Pool) + identitySeparator + strconv.FormatUint(uint64(s.Index), 10)}
}

// splitShard restores a shard. A malformed index leaves a NUL in the pool's name, which validation refuses.
func splitShard(n name) ident.ShardID {
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

// impliedBy reports whether the sender implies a member's identity.
func impliedBy(sender Party, m membership.Member) bool {
	return m.ID == sender.Router && m.Incarnation == sender.Incarnation && m.PeerAddr == "" && m.CallerAddr == "" && m.Domain == ""
}

// packMember converts a row.
func packMember(m membership.Member, suspectMS uint32, sender Party) wireMember {
	w := wireMember{
		Version: m.Version, Draining: m.Draining,
		Generation: uint64(m.Generation), Load: m.Load, SuspectMS: suspectMS,
	}
	if !impliedBy(sender, m) {
		w.Identity = name{text: joinIdentity(m)}
	}
	if m.State != membership.Alive {
		w.State = uint8(m.State)
	}
	return w
}

// member restores a row.
func (w wireMember) member(sender Party) (membership.Member, error) {
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
