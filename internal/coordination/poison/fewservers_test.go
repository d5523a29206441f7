package poison

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The service of the simulation: a request that ends its servers comes often, and each server is away for a while.
const (
	poisonInterval = 50 * time.Millisecond
	runTime        = 60 * time.Millisecond
	returnTime     = 3 * time.Second
	// knownAfter is when the rules count further sends, from the third crash on.
	knownAfter = 3 * time.Second
)

// poisonedService simulates a service whose servers end under one request, with one router and the trials that it grants.
type poisonedService struct {
	*scenario
	request Fingerprint
	// parts are those of all requests.
	parts []Fingerprint
	// returns holds for each server the time of its return.
	returns []time.Duration
	// endings holds for each server the time at which a run ends it, or 0.
	endings []time.Duration
	next    int
	// others is set if other requests are served, too.
	others   bool
	arrivals []time.Duration
	crashed  []time.Duration
}

func newPoisonedService(servers int, others bool, parts ...Fingerprint) *poisonedService {
	return &poisonedService{
		scenario: newScenario(), request: Fingerprint{Kind: KindRequest, Hash: 7}, parts: parts, others: others,
		returns: make([]time.Duration, servers), endings: make([]time.Duration, servers),
	}
}

// run plays the service for a time.
func (s *poisonedService) run(d time.Duration) {
	trialServer := -1
	for end := s.now + d; s.now < end; s.now += 10 * time.Millisecond {
		for i, at := range s.endings {
			if at != 0 && s.now >= at {
				s.endServer(i)
				if i == trialServer {
					s.EndTrial(s.now, "r", s.request, true)
					trialServer = -1
				}
			}
		}
		if s.others && s.up(0) >= 0 {
			s.RecordProof(s.now, service, append([]Fingerprint{{Kind: KindRequest, Hash: uint64(s.now)}}, s.parts...))
		}
		if s.now%poisonInterval != 0 {
			continue
		}
		held := append([]Fingerprint{s.request}, s.parts...)
		state := s.state(teamA, held...)
		server := s.up(s.next)
		if server < 0 || state == Blocked {
			continue
		}
		if state == Suspected {
			if !s.GrantTrial(s.now, "r", Ask{Team: teamA, Fingerprint: s.request}) {
				continue
			}
			trialServer = server
		}
		s.next = server + 1
		s.arrivals = append(s.arrivals, s.now)
		if s.endings[server] == 0 {
			s.endings[server] = s.now + runTime
		}
	}
}

// up returns a server that is not away, from the given one on, or -1.
func (s *poisonedService) up(from int) int {
	for i := range s.returns {
		server := (from + i) % len(s.returns)
		if s.now >= s.returns[server] {
			return server
		}
	}
	return -1
}

func (s *poisonedService) endServer(i int) {
	s.endings[i] = 0
	s.returns[i] = s.now + returnTime
	s.crashed = append(s.crashed, s.now)
	s.crashOf(fmt.Sprint("i-", i), Candidate{Team: teamA, Fingerprints: append([]Fingerprint{s.request}, s.parts...)})
}

// late returns the number of arrivals that the rules limit to three.
func (s *poisonedService) late() int {
	if len(s.crashed) < 3 {
		return 0
	}
	n := 0
	for _, at := range s.arrivals {
		if at > s.crashed[2]+knownAfter {
			n++
		}
	}
	return n
}

// Guards against rules that are never met at services with few servers, so that one request ends all of them again and
// again, and against more than three sends once three servers have ended.
func TestRequestIsBlockedAtServicesOfAnySize(t *testing.T) {
	for _, servers := range []int{1, 3, 4, 12, 160} {
		for _, others := range []bool{true, false} {
			for name, parts := range map[string][]Fingerprint{"plain": nil, "prompt": {first, topic}} {
				t.Run(fmt.Sprintf("%d servers, others served %v, %s", servers, others, name), func(t *testing.T) {
					g := NewWithT(t)
					s := newPoisonedService(servers, others, parts...)
					s.run(10 * time.Minute)
					t.Logf("%d arrivals, %d crashes, %d arrivals that count", len(s.arrivals), len(s.crashed), s.late())
					g.Expect(s.late()).To(BeNumerically("<=", 3))
					g.Expect(len(s.crashed)).To(BeNumerically("<=", 3+3+2), "two more are on their way at the first crash")
				})
			}
		}
	}
}

// Guards against a request that stays away from a service that has recovered, in the time in which no request is proven.
func TestRequestIsServedAfterAllServersHaveEndedTogether(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	request := Fingerprint{Kind: KindRequest, Hash: 7}
	for i := range 3 {
		s.crashOf(fmt.Sprint("i-", i), Candidate{Team: teamA, Fingerprints: []Fingerprint{request}})
	}
	g.Expect(s.state(teamA, request)).To(Equal(Suspected))
	s.now += returnTime
	g.Expect(s.GrantTrial(s.now, "r", Ask{Team: teamA, Fingerprint: request})).To(BeTrue())
	s.RecordProof(s.now, service, []Fingerprint{request})
	g.Expect(s.state(teamA, request)).To(Equal(Clear))
}

// Guards against a sound request that is refused because it was on the same servers as a poisonous one. A soak showed it
// with parts of prompts: trials of both met on the few servers that were left.
func TestRequestOnTheServersOfAPoisonousOneIsNotBlocked(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	poisonous := Candidate{Team: teamA, Fingerprints: []Fingerprint{bad, {Kind: KindRequest, Hash: 1}}}
	sound := Candidate{Team: teamA, Fingerprints: []Fingerprint{topic, {Kind: KindRequest, Hash: 2}}}
	s.crashOf("i-0", poisonous)
	for i := range 3 {
		s.now += time.Second
		s.prove(first)
		s.crashOf(fmt.Sprint("i-", 1+i), poisonous, sound)
	}
	s.now += time.Second
	s.prove(first)
	g.Expect(s.state(teamA, poisonous.Fingerprints...)).To(Equal(Blocked))
	g.Expect(s.state(teamA, sound.Fingerprints...)).To(Equal(Suspected))
	other := newScenario()
	other.now = s.now
	other.Merge(other.now, s.EvidenceOf(s.now, s.Recent(s.now)))
	g.Expect(other.state(teamA, sound.Fingerprints...)).To(Equal(Suspected), "a router that learns of it from others")
}

// Guards against a part that is blocked because trials of a sound and of a poisonous request with it met on each server. A
// soak showed it.
func TestPartOfASoundAndAPoisonousRequestOnOneServerIsNotBlocked(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	poisonous := Candidate{Team: teamA, Fingerprints: []Fingerprint{first, topic, {Kind: KindRequest, Hash: 1}}}
	for i := range 3 {
		sound := Candidate{Team: teamA, Fingerprints: []Fingerprint{first, topic, {Kind: KindRequest, Hash: uint64(2 + i)}}}
		s.crashOf(fmt.Sprint("i-", i), sound, poisonous)
		s.now += time.Second
		s.prove(bad)
	}
	g.Expect(s.state(teamA, poisonous.Fingerprints...)).To(Equal(Blocked))
	g.Expect(s.state(teamA, first, topic, Fingerprint{Kind: KindRequest, Hash: 9})).To(Equal(Suspected))
}

// Guards against sound requests that share all parts with a poisonous one and are held for it.
func TestPartsOfAPoisonousRequestAreTriedWithOthers(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	s.prove(topic)
	poisonous := []Fingerprint{first, bad, {Kind: KindRequest, Hash: 1}}
	for i := range minCrashes {
		s.crashOf(fmt.Sprint("i-", i), Candidate{Team: teamA, Fingerprints: poisonous})
		s.now += time.Second
		s.prove(topic)
	}
	g.Expect(s.state(teamA, poisonous...)).To(Equal(Blocked))
	verdict := s.Check(s.now, teamA, poisonous)
	g.Expect(verdict.Fingerprint.Kind).To(Equal(KindRequest))
	sound := []Fingerprint{first, bad, {Kind: KindRequest, Hash: 2}}
	g.Expect(s.state(teamA, sound...)).To(Equal(Suspected))
	g.Expect(s.GrantTrial(s.now, "r", Ask{Team: teamA, Fingerprint: first})).To(BeTrue())
	s.RecordProof(s.now, service, sound)
	g.Expect(s.state(teamA, sound...)).To(Equal(Clear))
	g.Expect(s.state(teamA, poisonous...)).To(Equal(Blocked))
}

// Guards against a first part, new to the fleet, that only poisonous requests are tried for, one after the other, while sound
// requests with it are refused. A soak showed it.
func TestSoundRequestIsTriedBeforePoisonousOnes(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	poisonous := func(n int) []Fingerprint { return []Fingerprint{first, bad, {Kind: KindRequest, Hash: uint64(n)}} }
	sound := []Fingerprint{first, topic, {Kind: KindRequest, Hash: 100}}
	ask := func(fingerprints []Fingerprint) bool {
		v := s.Check(s.now, teamA, fingerprints)
		g.Expect(v.State).To(Equal(Suspected))
		return s.GrantTrial(s.now, "r", Ask{Team: teamA, Fingerprint: v.Fingerprint, Alone: v.Alone})
	}
	s.crash(teamA, poisonous(0)...)
	g.Expect(ask(poisonous(1))).To(BeTrue())
	s.now += 200 * time.Millisecond
	s.crash(teamA, poisonous(1)...)
	s.EndTrial(s.now, "r", first, true)
	s.now += trialPause
	g.Expect(ask(poisonous(2))).To(BeFalse(), "it would say nothing new about the first part")
	g.Expect(ask(sound)).To(BeTrue())
	s.RecordProof(s.now, service, sound)
	g.Expect(s.state(teamA, sound...)).To(Equal(Clear))
}

// Guards against trials without end: one that ends without a proof and without a crash says nothing, so the next ones come
// less and less often.
func TestTrialsWithoutAnOutcomeBecomeRare(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	s.crash(teamA, bad)
	granted := 0
	for end := s.now + time.Minute; s.now < end; s.now += 10 * time.Millisecond {
		if s.GrantTrial(s.now, "r", Ask{Team: teamA, Fingerprint: bad}) {
			granted++
			s.EndTrial(s.now, "r", bad, true)
		}
	}
	g.Expect(granted).To(BeNumerically("<=", 8))
	g.Expect(s.GrantTrial(s.now, "r", Ask{Team: teamA, Fingerprint: topic})).To(BeTrue())
	s.EndTrial(s.now, "r", topic, false)
	g.Expect(s.GrantTrial(s.now, "r", Ask{Team: teamA, Fingerprint: topic})).To(BeTrue(), "the request was not sent")
}

// Guards against made-up requests for trials that fill the memory.
func TestTrialsAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	for i := range 2 * maxTrials {
		s.GrantTrial(s.now, "r", Ask{Team: teamA, Fingerprint: ownPart(i)})
	}
	g.Expect(len(s.trials)).To(Equal(maxTrials))
	s.now += trialLease + trialMemory
	s.Expire(s.now)
	g.Expect(s.trials).To(BeEmpty())
}
