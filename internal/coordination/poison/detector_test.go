package poison

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Fingerprints of the prompts in the tests. first is common to all requests, bad crashes servers, own fingerprints are
// above 1000.
var (
	first = PartFingerprint(1)
	topic = PartFingerprint(2)
	bad   = PartFingerprint(3)
)

// ownPart returns a part that no other request has.
func ownPart(n int) Fingerprint { return PartFingerprint(uint64(1000 + n)) }

const (
	service = "pool"
	teamA   = "a"
	teamB   = "b"
)

// start is the time at which the tests begin. It is far from the zero time.
const start = time.Hour

// scenario plays crashes and proofs in virtual time.
type scenario struct {
	*Detector
	now     time.Duration
	crashes int
}

func newScenario() *scenario { return &scenario{Detector: NewDetector(), now: start} }

// crash ends a server on which one request of a team had just begun.
func (s *scenario) crash(team string, fingerprints ...Fingerprint) {
	s.crashOf(fmt.Sprintf("i-%d", s.crashes), Candidate{Team: team, Fingerprints: fingerprints})
}

func (s *scenario) crashOf(server string, requests ...Candidate) {
	s.crashes++
	s.RecordCrash(s.now, CrashReport{
		Server: server, StartedAt: int64(s.crashes), Address: "host-" + server, Service: service, At: s.now,
		Requests: requests,
	})
}

func (s *scenario) prove(fingerprints ...Fingerprint) { s.RecordProof(s.now, service, fingerprints) }

func (s *scenario) state(team string, fingerprints ...Fingerprint) State {
	return s.Check(s.now, team, fingerprints).State
}

// crashApart crashes n servers one second apart, while sound requests are proven.
func (s *scenario) crashApart(n int, team string, fingerprints ...Fingerprint) {
	for range n {
		s.crash(team, fingerprints...)
		s.now += time.Second
		s.prove(first)
	}
}

// Guards against a fingerprint that goes on to crash servers, and against a first fingerprint that is blocked with it.
func TestPartIsBlockedAfterThreeCrashes(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	s.prove(first)
	s.now += 100 * time.Millisecond
	for crashes := range minCrashes {
		want := Suspected
		if crashes == 0 {
			want = Clear
		}
		g.Expect(s.state(teamA, first, bad)).To(Equal(want), "after %d crashes", crashes)
		s.crashApart(1, teamA, first, bad)
	}
	g.Expect(s.state(teamA, first, bad)).To(Equal(Blocked))
	g.Expect(s.state(teamA, first, topic)).To(Equal(Clear))
	verdict := s.Check(s.now, teamA, []Fingerprint{first, bad})
	g.Expect(verdict.Fingerprint).To(Equal(bad))
	g.Expect(verdict.Servers).To(Equal([]string{"i-0", "i-1", "i-2"}))
	g.Expect(verdict.RetryAfter).To(Equal(maxRetryAfter))
}

// Guards against a sound fingerprint that stays under suspicion after it was on a crashed server.
func TestProofClearsPart(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	s.crashApart(2, teamA, first, topic)
	g.Expect(s.state(teamA, topic)).To(Equal(Suspected))
	s.prove(first, topic)
	g.Expect(s.state(teamA, topic)).To(Equal(Clear))
	g.Expect(s.Len()).To(BeZero())
}

// Guards against suspicion of a fingerprint in use because of one crash, and against a fingerprint that was sound and is
// no longer.
func TestPartThatTurnsPoisonousIsBlocked(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	s.prove(bad)
	s.now += 2 * time.Second
	s.crash(teamA, first, bad)
	g.Expect(s.state(teamA, bad)).To(Equal(Clear), "one crash of a fingerprint that was proven before")
	s.crashApart(2, teamA, first, bad)
	s.crashApart(2, teamA, first, bad)
	g.Expect(s.state(teamA, bad)).To(Equal(Blocked))
}

// Guards against a fingerprint that is blocked because many servers end at one moment, with it on all of them.
func TestServersThatEndTogetherAreOneEvent(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	for range 12 {
		s.crash(teamA, topic)
		s.now += 5 * time.Millisecond
	}
	s.now += time.Second
	s.prove(first)
	g.Expect(s.state(teamA, topic)).To(Equal(Suspected))
	s.crash(teamA, topic, bad) // one further crash of another cause
	s.prove(first, topic)
	g.Expect(s.state(teamA, topic)).To(Equal(Clear))
}

// Guards against fingerprints that are blocked because one server ends under any load.
func TestServerThatEndsUnderAnyLoadBlocksNoPart(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	for range minCrashes {
		s.crashOf("i-broken", Candidate{Team: teamA, Fingerprints: []Fingerprint{first, topic}})
		s.now += 10 * time.Second
		s.prove(first)
	}
	g.Expect(s.state(teamA, topic)).To(Equal(Suspected))
}

// Guards against fingerprints that are blocked although nothing at all is served: the servers end under any load.
func TestServiceWithoutProofsBlocksNoPart(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	for range manyCrashes - 1 {
		s.crash(teamA, topic)
		s.now += time.Second
	}
	g.Expect(s.state(teamA, topic)).To(Equal(Suspected))
	s.crash(teamA, topic)
	g.Expect(s.state(teamA, topic)).To(Equal(Blocked), "a fingerprint that all requests have is blocked in the end")
}

// Guards against crashes that several routers see and that count more than once.
func TestCrashCountsOnceForAllRouters(t *testing.T) {
	g := NewWithT(t)
	routers := []*scenario{newScenario(), newScenario(), newScenario()}
	for _, s := range routers {
		s.crash(teamA, bad)
		s.now += 40 * time.Millisecond
	}
	for range 3 {
		for _, from := range routers {
			for _, to := range routers {
				to.Merge(to.now, from.EvidenceOf(from.now, []Fingerprint{bad}))
			}
		}
	}
	for _, s := range routers {
		g.Expect(s.Check(s.now, teamA, []Fingerprint{bad}).Crashes).To(Equal(1))
	}
}

// Guards against a fleet in which each router sees one crash of three and nobody blocks the fingerprint, and against routers
// that start or were partitioned and do not learn of it.
func TestEvidenceOfManyRoutersIsMerged(t *testing.T) {
	g := NewWithT(t)
	routers := make([]*scenario, 5)
	for i := range routers {
		routers[i] = newScenario()
	}
	for i := range minCrashes {
		for j := range routers {
			routers[j].now = start + time.Duration(i)*time.Second
			routers[j].prove(first)
		}
		s := routers[i]
		s.crashes = i
		s.crash(teamA, first, bad)
		s.Merge(s.now, nil)
	}
	late := routers[4]
	for _, s := range routers {
		s.now += 2 * time.Second
		s.prove(first)
	}
	for _, s := range routers[:4] {
		late.Merge(late.now, s.EvidenceOf(s.now, s.Recent(s.now)))
	}
	g.Expect(late.state(teamA, bad)).To(Equal(Blocked))
	g.Expect(late.state(teamA, first)).To(Equal(Clear))
}

// Guards against a proof of another router that does not clear a fingerprint, and against old evidence that then comes back.
func TestMergedProofClearsPart(t *testing.T) {
	g := NewWithT(t)
	s, other := newScenario(), newScenario()
	s.crashApart(2, teamA, topic)
	stale := s.EvidenceOf(s.now, []Fingerprint{topic})
	other.now = s.now
	other.prove(topic)
	_, refuted := other.Merge(other.now, stale)
	g.Expect(refuted).To(Equal([]Fingerprint{topic}))
	cleared, _ := s.Merge(s.now, other.EvidenceOf(other.now, []Fingerprint{topic}))
	g.Expect(cleared).To(Equal([]Fingerprint{topic}))
	s.Merge(s.now, stale)
	g.Expect(s.state(teamA, topic)).To(Equal(Clear))
	s.now += time.Minute // the proof itself is forgotten by then
	for i := range 2 {
		s.now += proofGeneration
		s.prove(ownPart(i))
	}
	for i := range stale[0].Crashes {
		stale[0].Crashes[i].Age += (time.Minute + 2*proofGeneration).Milliseconds()
	}
	s.Merge(s.now, stale)
	g.Expect(s.state(teamA, topic)).To(Equal(Clear))
}

// Guards against a team that gets another team's fingerprint, or the common first fingerprint, blocked by adding it to
// requests that crash servers.
func TestTeamCannotBlockPartsOfOthers(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	for i := range manyCrashes {
		s.crashApart(1, teamA, first, topic, ownPart(i))
	}
	g.Expect(s.state(teamA, first, topic)).To(Equal(Blocked))
	g.Expect(s.state(teamB, first, topic)).To(Equal(Suspected))
	g.Expect(s.state(teamB, first)).To(Equal(Clear))
	s.prove(first, topic)
	g.Expect(s.state(teamB, first, topic)).To(Equal(Clear))
}

// Guards against one more crash for each team that sends the fingerprint.
func TestPartIsBlockedForAllTeamsAfterCrashesOfTwo(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	s.crashApart(2, teamA, first, bad)
	s.crashApart(1, teamB, first, bad)
	g.Expect(s.state("c", first, bad)).To(Equal(Blocked))
}

// Guards against a sound fingerprint that is refused because it always came together with the poisonous one.
func TestCompanionOfAPoisonousPartIsTriedAlone(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	s.crashApart(minCrashes, teamA, first, topic, bad)
	g.Expect(s.state(teamA, first, topic, bad)).To(Equal(Blocked))
	g.Expect(s.state(teamA, first, topic)).To(Equal(Suspected))
	s.prove(first, topic)
	g.Expect(s.state(teamA, first, topic)).To(Equal(Clear))
	g.Expect(s.state(teamA, first, bad)).To(Equal(Blocked))
}

// Guards against a new first fingerprint that is blocked because two poisonous fingerprints came with it. A soak showed it.
func TestNewFirstPartOfTwoPoisonousPartsIsTriedAlone(t *testing.T) {
	g := NewWithT(t)
	otherBad := PartFingerprint(4)
	s := newScenario()
	s.RecordProof(s.now, service, []Fingerprint{topic})
	for _, fingerprint := range []Fingerprint{bad, bad, otherBad} {
		s.crash(teamA, first, fingerprint)
		s.now += time.Second
		s.prove(topic)
	}
	g.Expect(s.state(teamA, first, bad)).To(Equal(Blocked))
	g.Expect(s.state(teamA, first, topic)).To(Equal(Suspected))
	g.Expect(s.GrantTrial(s.now, "r1", Ask{Team: teamA, Fingerprint: first})).To(BeTrue())
	s.prove(first, topic)
	g.Expect(s.state(teamA, first, topic)).To(Equal(Clear))
}

// Guards against a poisonous fingerprint that is never blocked because each request has a further fingerprint of its own.
func TestPartIsBlockedBesidePartsOfTheirOwn(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	for i := range manyCrashes {
		g.Expect(s.state(teamA, first, bad, ownPart(i))).NotTo(Equal(Blocked))
		s.crashApart(1, teamA, first, bad, ownPart(i))
	}
	g.Expect(s.state(teamA, first, bad, ownPart(1000))).To(Equal(Blocked))
	trials := 0
	for end := s.now + 10*time.Minute; s.now < end; s.now += time.Second {
		if s.state(teamA, first, bad, ownPart(2000)) == Suspected {
			trials++
			s.crash(teamA, first, bad, ownPart(2000))
		}
		s.prove(first)
	}
	g.Expect(trials).To(BeNumerically("<=", maxRetrials))
}

// Guards against a fingerprint that stays blocked for ever, and against more than three crashes for finding that out.
func TestBlockedPartIsTriedAgain(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	s.crashApart(minCrashes, teamA, bad)
	trials := 0
	for end := s.now + 24*time.Hour; s.now < end; s.now += 10 * time.Second {
		if s.state(teamA, bad) == Suspected { // requests come all the time
			trials++
			s.crash(teamA, bad)
		}
		s.prove(first)
		s.Expire(s.now)
	}
	g.Expect(trials).To(Equal(maxRetrials))
	s.now += idlePeriod + time.Second
	g.Expect(s.state(teamA, bad)).NotTo(Equal(Blocked), "no request came for an hour")
}

// Guards against made-up fingerprints that push evidence out of the table.
func TestMadeUpPartsDoNotReplaceEvidence(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	s.crashApart(minCrashes, teamA, bad)
	next := 0
	for range 400 {
		var candidates []Candidate
		for range 8 {
			candidates = append(candidates, Candidate{Team: teamB, Fingerprints: []Fingerprint{ownPart(next), ownPart(next + 1), ownPart(next + 2)}})
			next += 3
		}
		s.crashOf(fmt.Sprintf("i-%d", s.crashes), candidates...)
		s.now += 200 * time.Millisecond
		s.prove(first)
	}
	g.Expect(s.Len()).To(BeNumerically("<=", maxSuspects))
	g.Expect(s.state(teamA, bad)).To(Equal(Blocked))
}

// Guards against two trials of a fingerprint at once, after a lease has ended, and by a router that asks twice.
func TestOneTrialAtATime(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	s.crash(teamA, bad)
	g.Expect(s.GrantTrial(s.now, "r1", Ask{Team: teamA, Fingerprint: bad})).To(BeTrue())
	g.Expect(s.GrantTrial(s.now, "r2", Ask{Team: teamA, Fingerprint: bad})).To(BeFalse())
	g.Expect(s.GrantTrial(s.now, "r1", Ask{Team: teamA, Fingerprint: bad})).To(BeFalse())
	s.EndTrial(s.now, "r2", bad, true)
	g.Expect(s.GrantTrial(s.now, "r2", Ask{Team: teamA, Fingerprint: bad})).To(BeFalse(), "only its holder ends a trial")
	s.EndTrial(s.now, "r1", bad, true)
	g.Expect(s.GrantTrial(s.now, "r2", Ask{Team: teamA, Fingerprint: bad})).To(BeFalse(), "the evidence of the last trial is on its way")
	s.now += trialPause
	g.Expect(s.GrantTrial(s.now, "r2", Ask{Team: teamA, Fingerprint: bad})).To(BeTrue())
	s.now += trialLease
	g.Expect(s.GrantTrial(s.now, "r1", Ask{Team: teamA, Fingerprint: bad})).To(BeTrue(), "the holder was lost")
	s.EndTrial(s.now, "r1", bad, true)
	s.crashApart(2, teamA, bad)
	g.Expect(s.GrantTrial(s.now, "r1", Ask{Team: teamA, Fingerprint: bad})).To(BeFalse(), "blocked")
}

// Guards against an operator's order that does not end a block, or that other routers undo.
func TestLiftedBlockDoesNotComeBack(t *testing.T) {
	g := NewWithT(t)
	s, other := newScenario(), newScenario()
	s.crashApart(minCrashes, teamA, bad)
	other.now = s.now
	other.Merge(other.now, s.EvidenceOf(s.now, []Fingerprint{bad}))
	g.Expect(s.Lift(s.now, bad)).To(BeTrue())
	g.Expect(s.Lift(s.now, bad)).To(BeFalse())
	s.now += time.Second
	other.now = s.now
	s.Merge(s.now, other.EvidenceOf(other.now, other.Recent(other.now)))
	g.Expect(s.state(teamA, bad)).To(Equal(Clear))
	other.Merge(other.now, s.EvidenceOf(s.now, s.Recent(s.now)))
	g.Expect(other.state(teamA, bad)).To(Equal(Clear))
}

// Guards against evidence that does not fit a datagram.
func TestEvidenceIsSplit(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	var fingerprints []Fingerprint
	for i := range 60 {
		s.crashApart(1, teamA, ownPart(i), ownPart(1000+i))
		fingerprints = append(fingerprints, ownPart(i))
	}
	messages := Split("r1", s.EvidenceOf(s.now, fingerprints))
	total := 0
	for _, m := range messages {
		g.Expect(m.Router).To(Equal("r1"))
		size := 0
		for i := range m.Fingerprints {
			size += m.Fingerprints[i].size()
		}
		g.Expect(size).To(BeNumerically("<=", maxMessageBytes))
		total += len(m.Fingerprints)
	}
	g.Expect(total).To(Equal(len(fingerprints)))
	g.Expect(len(messages)).To(BeNumerically(">", 1))
}

// Guards against a sound part that is blocked because sound requests with it were on the servers that requests with it
// and a poisonous part have ended: another router saw the sound ones, so that the poisonous part is not in all requests
// with the sound one.
func TestPartOfSoundAndPoisonousRequestsIsNotBlocked(t *testing.T) {
	for _, before := range []int{0, 2} {
		t.Run(fmt.Sprintf("%d crashes before", before), func(t *testing.T) {
			g := NewWithT(t)
			s := newScenario()
			s.crashApart(before, teamA, first, bad)
			for i := range minCrashes {
				server := fmt.Sprint("shared-", i)
				number := s.crashes
				s.crashOf(server, Candidate{Team: teamA, Fingerprints: []Fingerprint{first, topic, ownPart(i)}})
				s.crashes = number // the report of another router about the same crash
				s.crashOf(server, Candidate{Team: teamA, Fingerprints: []Fingerprint{first, topic, bad}})
				s.now += time.Second
				s.prove(first)
			}
			g.Expect(s.state(teamA, first, topic, bad)).To(Equal(Blocked))
			g.Expect(s.state(teamA, first, topic)).To(Equal(Suspected))
		})
	}
}
