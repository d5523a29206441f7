package serverspeed

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var begin = time.Unix(1_000_000, 0)

// simulated is a server whose work takes known times.
type simulated struct {
	rate, base, slope, delay float64
}

// run lets a model observe n first events and pauses of a server with the given announced and real paces, in percent.
func (s simulated) run(m *Model, id string, n int, announced, real func(i int) int) time.Time {
	r := rand.New(rand.NewPCG(1, 2))
	now := begin
	for i := range n {
		now = now.Add(20 * time.Millisecond)
		m.Announce(now, id, Announcement{Running: 3, Slots: 12, Pace: announced(i)}, 1)
		pace := float64(real(i)) / 100
		tokens := 100 + r.IntN(12_000)
		m.ObserveFirstEvent(now, id, tokens, fromMilliseconds((s.delay+float64(tokens)/s.rate)*pace))
		running := 1 + r.IntN(12)
		m.ObservePause(now, id, running, fromMilliseconds((s.base+s.slope*float64(running))*pace))
	}
	return now
}

// at returns the speed of a server at a time.
func at(m *Model, now time.Time, id string) Speed {
	view := m.At(now)
	return view.Server(id)
}

func constant(percent int) func(int) int { return func(int) int { return percent } }

func alternating(i int) int {
	if i/7%2 == 0 {
		return 100
	}
	return 180
}

var engineOfB = simulated{rate: 157, base: 39, slope: 0.51, delay: 8}

// Guards against a rate that a clamp or slow moments distort: an engine of 157 tokens per ms counted as one of 90.
func TestLearnsTheSpeedFromObservations(t *testing.T) {
	g := NewWithT(t)
	m := New()
	now := engineOfB.run(m, "e", 2000, alternating, alternating)
	g.Expect(m.Paced()).To(BeTrue())
	speed := at(m, now, "e")
	g.Expect(speed.PrefillRate() * speed.Pace).To(BeNumerically("~", 157, 12))
	pause, known := speed.Pause(10)
	g.Expect(known).To(BeTrue())
	g.Expect(milliseconds(pause) / speed.Pace).To(BeNumerically("~", 39+5.1, 2))
	other := at(m, now, "without observations")
	g.Expect(other.PrefillRate() * other.Pace).To(BeNumerically("~", 157, 12))
}

// Guards against a false pace that draws all work: a server that always announces half of the usual time, and works as the
// others do, is predicted as they are. A moment of a low pace gains a fifth at most.
func TestFalsePaceGainsLittle(t *testing.T) {
	g := NewWithT(t)
	m := New()
	engineOfB.run(m, "honest", 2000, constant(100), constant(100))
	now := engineOfB.run(m, "liar", 2000, constant(20), constant(100))
	honest, liar := at(m, now, "honest"), at(m, now, "liar")
	usual := float64(honest.PrefillTime(10_000))
	g.Expect(float64(liar.PrefillTime(10_000))).To(BeNumerically("~", usual, 0.1*usual))
	m.Announce(now, "honest", Announcement{Slots: 12, Pace: 1}, 0)
	moment := at(m, now, "honest")
	g.Expect(float64(moment.PrefillTime(10_000))).To(BeNumerically(">=", 0.79*usual))
}

// Guards against a slow moment that counts for long after it is over.
func TestPaceDecaysToItsMean(t *testing.T) {
	g := NewWithT(t)
	m := New()
	now := engineOfB.run(m, "e", 1000, constant(100), constant(100))
	m.Announce(now, "e", Announcement{Slots: 12, Pace: 300}, 0)
	g.Expect(at(m, now, "e").Pace).To(BeNumerically("~", 3, 0.01))
	g.Expect(at(m, now.Add(paceLifetime/2), "e").Pace).To(BeNumerically("~", 2, 0.1))
	g.Expect(at(m, now.Add(paceLifetime), "e").Pace).To(BeNumerically("~", 1, 0.1))
}

// Guards against an announced load that hides this router's own requests, or that counts after it is outdated.
func TestAnnouncedLoadIsBounded(t *testing.T) {
	g := NewWithT(t)
	m := New()
	requests := func(now time.Time, own int) int {
		speed := at(m, now, "i")
		if !speed.LoadKnown() {
			return -1
		}
		return speed.Requests(own)
	}
	g.Expect(requests(begin, 0)).To(Equal(-1))
	m.Announce(begin, "i", Announcement{Running: 5, Waiting: 2, Slots: 6, Pace: 100}, 3)
	g.Expect(requests(begin, 3)).To(Equal(7))
	g.Expect(requests(begin, 5)).To(Equal(9), "own requests since")
	g.Expect(requests(begin.Add(loadLifetime+1), 3)).To(Equal(-1), "outdated")
	m.Announce(begin, "i", Announcement{Running: 1, Slots: 6, Pace: 100}, 3)
	g.Expect(requests(begin, 3)).To(Equal(-1), "below the own load")
}

// Guards against services that change their schedule for one false announcement, or keep it after the servers are gone.
func TestServiceIsPacedIfHalfOfItsServersAre(t *testing.T) {
	g := NewWithT(t)
	m := New()
	g.Expect(m.Paced()).To(BeFalse())
	for _, id := range []string{"a", "b", "c"} {
		m.Announce(begin, id, Announcement{Running: 1, Slots: 6}, 0)
	}
	m.Announce(begin, "d", Announcement{Running: 1, Slots: 6, Pace: 20}, 0)
	g.Expect(m.Paced()).To(BeFalse())
	m.Announce(begin, "c", Announcement{Running: 1, Slots: 6, Pace: 100}, 0)
	g.Expect(m.Paced()).To(BeTrue())
	m.Retain(func(id string) bool { return id == "a" || id == "b" })
	g.Expect(m.Paced()).To(BeFalse())
}

// Guards against slots that stay unused although pauses permit them, and against batches whose pauses are too long.
func TestBatchIsFilledAsFarAsPausesAllow(t *testing.T) {
	g := NewWithT(t)
	m := New()
	unknown := m.Mean()
	_, known := unknown.MaxRunning(12, 300*time.Millisecond)
	g.Expect(known).To(BeFalse(), "without observations")
	now := engineOfB.run(m, "e", 2000, constant(100), constant(100))
	speed := at(m, now, "e")
	limit := func(maxPause time.Duration) int {
		n, _ := speed.MaxRunning(12, maxPause)
		return n
	}
	g.Expect(limit(300 * time.Millisecond)).To(Equal(12))
	g.Expect(limit(86 * time.Millisecond)).To(BeNumerically("~", 7, 1))
	g.Expect(limit(10 * time.Millisecond)).To(Equal(3))
}

// Guards against a plain server that idles for a round trip after each short request, and against requests that wait at a
// slow one for most of their objective.
func TestRequestsOfPlainServersFollowTheWork(t *testing.T) {
	g := NewWithT(t)
	limit := func(work time.Duration, pace int, objective time.Duration) int {
		m := New()
		for range 100 {
			m.Announce(begin, "i", Announcement{Running: 1, Slots: 6, Pace: pace}, 0)
			m.ObserveWork(begin, "i", 1, 6, work*time.Duration(pace)/100)
		}
		speed := at(m, begin, "i")
		return speed.MaxRequests(6, objective)
	}
	g.Expect(limit(60*time.Millisecond, 100, 300*time.Millisecond)).To(Equal(9))
	g.Expect(limit(15*time.Millisecond, 100, 120*time.Millisecond)).To(Equal(18))
	g.Expect(limit(60*time.Millisecond, 400, 300*time.Millisecond)).To(Equal(6))
}

// Guards against estimates that are not numbers, zero or infinite for any order of observations and announcements.
func TestEstimatesStayFinite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		now := begin
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-10, 2000).Draw(t, "ms")) * time.Millisecond)
			d := time.Duration(rapid.IntRange(-5, 20_000).Draw(t, "took")) * time.Millisecond
			n := rapid.IntRange(-2, 30_000).Draw(t, "n")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				m.Announce(now, "e", Announcement{Running: max(n, 0), Slots: 6, Pace: max(n, 0)}, 1)
			case 1:
				m.ObserveFirstEvent(now, "e", n, d)
			case 2:
				m.ObservePause(now, "e", n%64, d)
			case 3:
				m.ObserveWork(now, "e", n%64, 6, d)
			}
		}
		s := at(m, now, "e")
		if rate := s.PrefillRate(); !(rate > 0.01 && rate < 10_000) {
			t.Fatalf("rate %v", rate)
		}
		if pause, ok := s.Pause(6); ok && (pause < 0 || pause > time.Hour) {
			t.Fatalf("pause %v", pause)
		}
		if n, ok := s.MaxRunning(12, 300*time.Millisecond); ok && (n < 1 || n > 12) {
			t.Fatalf("running %d", n)
		}
		if n := s.MaxRequests(6, 300*time.Millisecond); n < 6 || n > 200 {
			t.Fatalf("requests %d", n)
		}
	})
}
