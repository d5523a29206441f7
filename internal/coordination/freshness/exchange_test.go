package freshness

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// Guards against a claim that is dated by the time at which it is read: after a pause of the process, datagrams from
// before the pause would make outdated knowledge count as fresh.
func TestClaimIsDatedByItsEcho(t *testing.T) {
	g := NewWithT(t)
	now := time.Hour
	clock := func() time.Duration { return now }
	a, b := NewExchange("a", clock), NewExchange("b", clock)
	proof := NewProof(clock)
	seven := func() kv.Position { return kv.Position{Revision: 7} }
	_, ok := b.Claim(proof, seven)
	g.Expect(ok).To(BeFalse())
	proof.Confirm(now)
	a.RecordSent(100)
	b.RecordReceived("a", 100)
	now += time.Second
	claim, ok := b.Claim(proof, seven)
	g.Expect(ok).To(BeTrue())
	now += 10 * time.Second
	confirmed, ok := a.ConfirmationTime(claim)
	g.Expect(ok).To(BeTrue())
	g.Expect(now-confirmed).To(Equal(12*time.Second), "age of the state plus age of the echoed report")
}

// Guards against claims that are dated by reports which this process did not send, or whose send times are not kept any
// more.
func TestUnknownEchoProvesNothing(t *testing.T) {
	g := NewWithT(t)
	now := time.Hour
	clock := func() time.Duration { return now }
	a := NewExchange("a", clock)
	a.RecordSent(100)
	for _, echoes := range []map[string]uint64{
		{"a": 100 + maxSentReports}, {"a": 100 - maxSentReports}, {"b": 100}, nil,
	} {
		_, ok := a.ConfirmationTime(Claim{Echoes: echoes})
		g.Expect(ok).To(BeFalse(), "%v", echoes)
	}
	a.RecordSent(100 + maxSentReports)
	_, ok := a.ConfirmationTime(Claim{Echoes: map[string]uint64{"a": 100}})
	g.Expect(ok).To(BeFalse())
}

// Guards against a proof that is claimed for an older state when the configuration changes while the claim is made.
func TestClaimedRevisionIsNotOlderThanItsProof(t *testing.T) {
	g := NewWithT(t)
	now := time.Hour
	position := kv.Position{Revision: 7}
	proof := NewProof(func() time.Duration {
		position.Revision = 8 // the change takes effect while the age is measured
		return now
	})
	proof.Confirm(now)
	claim, _ := NewExchange("b", func() time.Duration { return now }).Claim(proof, func() kv.Position { return position })
	g.Expect(claim.Position.Revision).To(BeEquivalentTo(8))
}
