package freshness

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a claim that counts from when it is read: after a pause of the process, datagrams of before the pause
// would make old knowledge fresh.
func TestClaimIsDatedByItsEcho(t *testing.T) {
	g := NewWithT(t)
	now := time.Hour
	clock := func() time.Duration { return now }
	a, b := NewExchange("a", clock), NewExchange("b", clock)
	proof := NewProof(clock)
	seven := func() int64 { return 7 }
	_, ok := b.Claim(proof, seven)
	g.Expect(ok).To(BeFalse())
	proof.Confirm(now)
	a.Sent(100)
	b.Heard("a", 100)
	now += time.Second
	claim, ok := b.Claim(proof, seven)
	g.Expect(ok).To(BeTrue())
	now += 10 * time.Second
	at, ok := a.Date(claim)
	g.Expect(ok).To(BeTrue())
	g.Expect(now-at).To(Equal(12*time.Second), "the age of the state and the age of the echo")
}

// Guards against echoes of reports that another process of the router has sent, or that are too old to be known.
func TestUnknownEchoProvesNothing(t *testing.T) {
	g := NewWithT(t)
	now := time.Hour
	clock := func() time.Duration { return now }
	a := NewExchange("a", clock)
	a.Sent(100)
	for _, echoes := range []map[string]uint64{{"a": 100 + keptStamps}, {"a": 100 - keptStamps}, {"b": 100}, nil} {
		_, ok := a.Date(Claim{Echoes: echoes})
		g.Expect(ok).To(BeFalse(), "%v", echoes)
	}
	a.Sent(100 + keptStamps)
	_, ok := a.Date(Claim{Echoes: map[string]uint64{"a": 100}})
	g.Expect(ok).To(BeFalse())
}

// Guards against a proof that is claimed for the state before it, when a change comes while a claim is made.
func TestClaimedRevisionIsNotOlderThanItsProof(t *testing.T) {
	g := NewWithT(t)
	now := time.Hour
	revision := int64(7)
	proof := NewProof(func() time.Duration {
		revision = 8 // the change comes in force while the age is measured
		return now
	})
	proof.Confirm(now)
	claim, _ := NewExchange("b", func() time.Duration { return now }).Claim(proof, func() int64 { return revision })
	g.Expect(claim.Revision).To(Equal(int64(8)))
}
