package warmup

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

const (
	testRate = 12.0
	testTime = 3 * time.Second
)

// warmupTest is a registry with one server of a service with a warm-up.
type warmupTest struct {
	*Registry
	now    time.Time
	server backends.Server
}

func newWarmupTest() *warmupTest {
	w := &warmupTest{Registry: New(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	w.server = backends.Server{ID: "i", Service: "pool", Address: "10.0.0.1:80", FailureDomain: "a", StartedAt: 1}
	w.SetServices(map[string]Config{"pool": {PerSecond: testRate, Duration: testTime}})
	w.write()
	return w
}

// write makes the server's entry known as it is now.
func (w *warmupTest) write() {
	server := w.server
	w.SetServers(w.now, backends.NewSet([]*backends.Server{&server}))
}

// writeCold makes the entry say for how long the server is cold.
func (w *warmupTest) writeCold(left time.Duration) {
	w.server.ColdNamed, w.server.ColdLeft = true, left
	w.write()
}

// coldAfter reports whether the server has the rate of a cold one after d.
func (w *warmupTest) coldAfter(d time.Duration) bool {
	rate, limited := w.Rate(w.now.Add(d), "i")
	return limited && rate == testRate
}

// respond records a response whose request was sent just before.
func (w *warmupTest) respond(left time.Duration) {
	w.Receive(&w.server, Statement{Left: left, SentAt: w.now.Add(-time.Millisecond), ReceivedAt: w.now})
}

// Guards against a cold server that is taken for warm, against one that stays cold because its entry does not change, and
// against the whole load at the moment of its end.
func TestEntryNamesTheWarmup(t *testing.T) {
	g := NewWithT(t)
	w := newWarmupTest()
	_, limited := w.Rate(w.now, "i")
	g.Expect(limited).To(BeFalse(), "an entry that says nothing")
	w.writeCold(2 * time.Second)
	g.Expect(w.coldAfter(2*time.Second - 1)).To(BeTrue())
	previous := testRate
	for step := range recoverySteps {
		rate, limited := w.Rate(w.now.Add(2*time.Second+time.Duration(step)*recoveryStep), "i")
		g.Expect(limited).To(BeTrue())
		g.Expect(rate).To(Equal(2 * previous))
		previous = rate
	}
	w.now = w.now.Add(time.Second)
	w.write()
	g.Expect(w.coldAfter(time.Second)).To(BeFalse(), "the same entry again says nothing new")
	w.now = w.now.Add(time.Minute)
	w.Expire(w.now)
	g.Expect(w.Len()).To(BeZero())
	w.writeCold(0)
	_, limited = w.Rate(w.now, "i")
	g.Expect(limited).To(BeFalse())
}

// Guards against a server that restarts under its ID and counts as warm, whether its entry says so or says nothing.
func TestRestartedServerIsCold(t *testing.T) {
	g := NewWithT(t)
	w := newWarmupTest()
	w.server.StartedAt++
	w.write()
	g.Expect(w.coldAfter(testTime - 1)).To(BeTrue())
	w.now = w.now.Add(testTime + time.Minute)
	w.Expire(w.now)
	w.SetServers(w.now, backends.NewSet(nil))
	w.now = w.now.Add(10 * time.Second)
	w.Expire(w.now)
	w.write()
	g.Expect(w.coldAfter(0)).To(BeFalse(), "the entry came back after an outage of the store")
	w.SetServers(w.now, backends.NewSet(nil))
	w.server.StartedAt++
	w.write()
	g.Expect(w.coldAfter(testTime-1)).To(BeTrue(), "its entry was gone for a while")
	w.server.StartedAt++
	w.writeCold(0)
	g.Expect(w.coldAfter(0)).To(BeFalse(), "it says that it is warm")
	w.server.StartedAt++
	w.writeCold(time.Second)
	g.Expect(w.coldAfter(time.Second - 1)).To(BeTrue())
	g.Expect(w.coldAfter(time.Second)).To(BeFalse())
}

// Guards against a late response that ends or shortens a warm-up, and a later one that does not.
func TestLaterStatementReplacesTheEarlierOne(t *testing.T) {
	g := NewWithT(t)
	w := newWarmupTest()
	w.writeCold(2 * time.Second)
	late := Statement{SentAt: w.now.Add(-time.Second), ReceivedAt: w.now.Add(10 * time.Millisecond)}
	w.Receive(&w.server, late)
	g.Expect(w.coldAfter(time.Second)).To(BeTrue(), "sent before the entry was known")
	w.now = w.now.Add(100 * time.Millisecond)
	w.respond(3 * time.Second)
	g.Expect(w.coldAfter(3*time.Second - 1)).To(BeTrue())
	w.now = w.now.Add(100 * time.Millisecond)
	w.respond(0)
	g.Expect(w.coldAfter(0)).To(BeFalse())
	old := w.server
	old.StartedAt--
	w.Receive(&old, Statement{Left: time.Minute, SentAt: w.now, ReceivedAt: w.now})
	g.Expect(w.coldAfter(0)).To(BeFalse(), "of an earlier incarnation")
}

// Guards against the whole load for a server that is back after a crash, before its entry or a response says anything.
func TestServerThatRefusedConnectionsIsCold(t *testing.T) {
	g := NewWithT(t)
	w := newWarmupTest()
	w.RecordRefused(w.now, &w.server)
	g.Expect(w.coldAfter(time.Minute)).To(BeTrue(), "it is cold whenever it is back")
	w.now = w.now.Add(time.Minute)
	w.TakeChanges()
	w.RecordResponse(w.now, &w.server)
	g.Expect(w.coldAfter(testTime - 1)).To(BeTrue())
	g.Expect(w.coldAfter(testTime)).To(BeFalse())
	changes := w.TakeChanges()
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Own).To(BeTrue(), "the other routers do not know")
	w.RecordResponse(w.now.Add(time.Second), &w.server)
	g.Expect(w.coldAfter(testTime)).To(BeFalse(), "only the first response counts")
}

// Guards against the whole load for servers whose domain was evacuated, and against servers that stay cold although they
// say that they are not.
func TestServersAreColdAfterAnEvacuation(t *testing.T) {
	g := NewWithT(t)
	w := newWarmupTest()
	w.RecordEvacuationEnd(w.now, "b")
	g.Expect(w.coldAfter(0)).To(BeFalse())
	w.RecordEvacuationEnd(w.now, "a")
	g.Expect(w.coldAfter(testTime - 1)).To(BeTrue())
	w.now = w.now.Add(100 * time.Millisecond)
	w.writeCold(0)
	g.Expect(w.coldAfter(0)).To(BeFalse())
}

// Guards against a rate for servers of a service without coldPerS, whatever they say.
func TestServiceWithoutWarmup(t *testing.T) {
	g := NewWithT(t)
	w := newWarmupTest()
	w.SetServices(map[string]Config{"pool": {}})
	w.writeCold(time.Second)
	w.RecordRefused(w.now, &w.server)
	w.RecordEvacuationEnd(w.now, "a")
	_, limited := w.Rate(w.now, "i")
	g.Expect(limited).To(BeFalse())
	g.Expect(w.TakeChanges()).To(BeEmpty())
	g.Expect(w.List(w.now)).To(BeEmpty())
	_, cold := w.Report(w.now, "i")
	g.Expect(cold).To(BeFalse())
}

// Guards against warm-ups that routers tell each other without end, that shorten one, or that are not told of a server
// which is down.
func TestReportsExtendWarmups(t *testing.T) {
	g := NewWithT(t)
	a, b := newWarmupTest(), newWarmupTest()
	a.writeCold(2 * time.Second)
	report, cold := a.Report(a.now, "i")
	g.Expect(cold).To(BeTrue())
	b.Merge(b.now, report)
	g.Expect(b.coldAfter(2*time.Second - 1)).To(BeTrue())
	for range 100 {
		b.now = b.now.Add(10 * time.Millisecond)
		report, _ = a.Report(b.now.Add(-5*time.Millisecond), "i")
		b.Merge(b.now, report)
	}
	g.Expect(b.coldAfter(1100*time.Millisecond)).To(BeFalse(), "message delays do not add up")
	g.Expect(b.TakeChanges()).To(HaveLen(1))
	a.RecordRefused(a.now, &a.server)
	report, _ = a.Report(a.now.Add(time.Minute), "i")
	g.Expect(report.LeftMS).To(BeNumerically(">=", testTime.Milliseconds()))
	newer := report
	newer.StartedAt++
	fresh := newWarmupTest()
	fresh.Merge(fresh.now, newer)
	g.Expect(fresh.coldAfter(0)).To(BeTrue(), "a router that does not reach the store knows of the restart")
	fresh = newWarmupTest()
	for _, bad := range []Report{{Server: "i", StartedAt: 0, LeftMS: 9}, {Server: "x", StartedAt: 1, LeftMS: 9},
		{Server: "i", StartedAt: 1, LeftMS: -9}, {Server: "i", StartedAt: 1, LeftMS: maxLeftMS + 1}} {
		fresh.Merge(fresh.now, bad)
	}
	g.Expect(fresh.Len()).To(BeZero())
}

// Guards against operators who do not see the end of a warm-up, or see it twice.
func TestEndIsReportedOnce(t *testing.T) {
	g := NewWithT(t)
	w := newWarmupTest()
	w.writeCold(time.Second)
	g.Expect(w.TakeChanges()).To(HaveLen(1))
	for range 10 {
		w.now = w.now.Add(300 * time.Millisecond)
		w.Expire(w.now)
	}
	changes := w.TakeChanges()
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Left).To(BeZero())
}
