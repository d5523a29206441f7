package serverlimit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func newServer(startedAt int64) *backends.Server {
	return &backends.Server{ID: "i-0", Service: "pool", Address: "10.0.0.1:80", StartedAt: startedAt}
}

func newRegistry() (*Registry, *backends.Server) {
	r, server := New(), newServer(1)
	r.SetServers(backends.NewSet([]*backends.Server{server}))
	return r, server
}

// names is a statement of a limit, none one without a limit. The times are in seconds.
func names(rate, sent, received float64) Statement {
	return Statement{Limited: true, Rate: rate, SentAt: at(sent), ReceivedAt: at(received)}
}

func none(sent, received float64) Statement {
	return Statement{SentAt: at(sent), ReceivedAt: at(received)}
}

// Guards against a limit that is given up because of a response which was begun before the server named the limit.
func TestLimitEndsOnlyWithALaterResponse(t *testing.T) {
	g := NewWithT(t)
	r, server := newRegistry()
	g.Expect(r.Receive(server, none(0, 0.1))).To(Equal(Unchanged))
	g.Expect(r.Len()).To(BeZero(), "a server without a limit takes no memory")
	g.Expect(r.Receive(server, names(5, 1, 1.2))).To(Equal(Started))
	g.Expect(r.Receive(server, none(0.5, 1.3))).To(Equal(Unchanged), "sent before the limit was named")
	g.Expect(r.Receive(server, none(1.1, 1.4))).To(Equal(Unchanged), "sent before the response that named it arrived")
	g.Expect(r.Receive(server, names(5, 1.3, 1.5))).To(Equal(Unchanged))
	g.Expect(r.Receive(server, none(1.4, 1.6))).To(Equal(Unchanged), "sent before the last response that named it")
	rate, ok := r.Rate(at(2), "i-0")
	g.Expect(ok).To(BeTrue())
	g.Expect(rate).To(Equal(5.0))
	g.Expect(r.Receive(server, none(1.5, 1.7))).To(Equal(Ended))
	g.Expect(r.Receive(server, names(5, 1, 1.4))).To(Equal(Unchanged), "an earlier response")
	g.Expect(r.Receive(server, names(3, 1.9, 2))).To(Equal(Started))
}

// Guards against a limit that is raised by a response which the server may have written before it lowered the limit.
func TestOfUnorderedResponsesTheLowerLimitCounts(t *testing.T) {
	g := NewWithT(t)
	r, server := newRegistry()
	r.Receive(server, names(8, 1, 1.2))
	g.Expect(r.Receive(server, names(4, 1.1, 1.5))).To(Equal(Adjusted))
	g.Expect(r.Receive(server, names(8, 1.3, 1.6))).To(Equal(Unchanged))
	rate, _ := r.Named("i-0")
	g.Expect(rate).To(Equal(4.0))
	g.Expect(r.Receive(server, names(8, 1.6, 1.7))).To(Equal(Adjusted))
	g.Expect(r.Receive(server, names(2, 1.8, 1.9))).To(Equal(Adjusted))
	rate, _ = r.Named("i-0")
	g.Expect(rate).To(Equal(2.0))
}

// Guards against all requests meeting a server at the moment at which its limit ends, and against a limit that never
// ends.
func TestLoadReturnsInSteps(t *testing.T) {
	g := NewWithT(t)
	r, server := newRegistry()
	r.Receive(server, names(5, 1, 1.2))
	r.Receive(server, none(1.5, 2))
	r.Receive(server, none(1.6, 2.3)) // a further one does not begin the steps again
	for i, want := range []float64{10, 20, 40, 80} {
		rate, ok := r.Rate(at(2.1+0.4*float64(i)), "i-0")
		g.Expect(ok).To(BeTrue())
		g.Expect(rate).To(Equal(want))
	}
	_, ok := r.Rate(at(3.7), "i-0")
	g.Expect(ok).To(BeFalse())
	r.Expire(at(10))
	g.Expect(r.Len()).To(Equal(1), "kept to be compared with late statements")
	r.Expire(at(1000))
	g.Expect(r.Len()).To(BeZero())
}

// Guards against a server that gets no request, so that it cannot say that its limit has ended.
func TestServerThatTakesNothingIsTried(t *testing.T) {
	g := NewWithT(t)
	r, server := newRegistry()
	r.Receive(server, names(0, 1, 1.2))
	rate, ok := r.Rate(at(2), "i-0")
	g.Expect(ok).To(BeTrue())
	g.Expect(rate).To(Equal(TrialRate))
	named, _ := r.Named("i-0")
	g.Expect(named).To(BeZero())
	r.Receive(server, none(2, 2.1))
	rate, _ = r.Rate(at(2.2), "i-0")
	g.Expect(rate).To(Equal(2 * minRecoveryRate))
}

// Guards against a limit that outlives the incarnation of the server which named it, and one that a late response of an
// earlier incarnation sets.
func TestRestartedServerHasNoLimit(t *testing.T) {
	g := NewWithT(t)
	r, first := newRegistry()
	r.Receive(first, names(5, 1, 1.2))
	second := newServer(2)
	r.SetServers(backends.NewSet([]*backends.Server{second}))
	_, ok := r.Rate(at(2), "i-0")
	g.Expect(ok).To(BeFalse())
	g.Expect(r.Receive(first, names(5, 1, 2))).To(Equal(Unchanged))
	g.Expect(r.Len()).To(BeZero())
	other := newServer(2)
	other.Address = "10.0.0.2:80"
	r.Receive(second, names(5, 2, 2.2))
	r.SetServers(backends.NewSet([]*backends.Server{other}))
	g.Expect(r.Len()).To(BeZero(), "another server at the ID")
}

// Guards against a limit that is forgotten while the server does not reach the store: its entry lapses and comes back with
// the same start. What its responses say meanwhile counts when it is back.
func TestLimitHoldsWhileTheEntryHasLapsed(t *testing.T) {
	g := NewWithT(t)
	r, server := newRegistry()
	lapse := func() { r.SetServers(backends.NewSet(nil)) }
	comeBack := func() {
		again := *server
		r.SetServers(backends.NewSet([]*backends.Server{&again}))
	}
	r.Receive(server, names(5, 1, 1.2))
	lapse()
	g.Expect(r.Len()).To(BeZero())
	r.Expire(at(3))
	comeBack()
	rate, limited := r.Rate(at(6), "i-0")
	g.Expect(limited).To(BeTrue())
	g.Expect(rate).To(Equal(5.0))
	lapse()
	g.Expect(r.Receive(server, names(3, 7, 7.2))).To(Equal(Unchanged))
	comeBack()
	rate, _ = r.Rate(at(8), "i-0")
	g.Expect(rate).To(Equal(3.0), "named while the entry had lapsed")
	lapse()
	r.Expire(at(9))
	r.Expire(at(10).Add(absenceRetention))
	comeBack()
	g.Expect(r.Known("i-0")).To(BeFalse(), "it was gone for too long")
}

// Guards against a router that keeps a limit for good which has ended, and sends nothing to the server: it had a response
// that named the limit after the request was sent whose response showed its end to the owner. A fleet of 65 showed it.
func TestEndThatOverlapsTheLastNamingIsBelievedInTime(t *testing.T) {
	g := NewWithT(t)
	owner, server := newRegistry()
	router, _ := newRegistry()
	owner.Receive(server, names(5, 0, 0.1))
	router.Receive(server, names(5, 0.9, 1.02))
	g.Expect(owner.Receive(server, none(1, 1.05))).To(Equal(Ended))
	merge := func(seconds float64) Change {
		entry, ok := owner.Entry(at(seconds), "i-0")
		g.Expect(ok).To(BeTrue())
		return router.Merge(at(seconds+0.005), entry)
	}
	g.Expect(merge(1.1)).To(Equal(Unchanged), "the server may name the limit again")
	g.Expect(merge(2.0)).To(Equal(Unchanged))
	g.Expect(merge(2.1)).To(Equal(Ended))
	g.Expect(router.Receive(server, names(5, 1.5, 2.2))).To(Equal(Started), "it does")
	g.Expect(merge(2.3)).To(Equal(Unchanged), "the end is older than that")
	g.Expect(merge(9)).To(Equal(Unchanged))
	_, limited := router.Named("i-0")
	g.Expect(limited).To(BeTrue())
}

// Guards against a message that was delayed on its way and ends a limit that the server named again meanwhile, and
// against entries of other incarnations or with values that make no sense.
func TestMessagesOfOtherRouters(t *testing.T) {
	g := NewWithT(t)
	source, server := newRegistry()
	target, _ := newRegistry()
	source.Receive(server, names(5, 1, 1.2))
	entry, ok := source.Entry(at(1.3), "i-0")
	g.Expect(ok).To(BeTrue())
	g.Expect(target.Merge(at(1.31), entry)).To(Equal(Started))
	g.Expect(target.Merge(at(1.32), entry)).To(Equal(Unchanged))
	source.Receive(server, none(1.4, 1.5))
	ended, _ := source.Entry(at(1.5), "i-0")
	target.Receive(server, names(5, 1.3, 1.45))
	g.Expect(target.Merge(at(1.58), ended)).To(Equal(Unchanged), "the message seems to be 80 ms later than it was")
	target.Receive(server, names(5, 1.5, 1.6))
	source.Receive(server, none(2, 2.1))
	ended, _ = source.Entry(at(2.1), "i-0")
	g.Expect(ended.Ended).To(BeTrue())
	g.Expect(target.Merge(at(2.11), ended)).To(Equal(Ended))
	for _, invalid := range []Entry{
		{Server: "i-9", StartedAt: 1, Rate: 1}, {Server: "i-0", StartedAt: 2, Rate: 1}, {Server: "i-0", StartedAt: 1, Rate: -1},
		{Server: "i-0", StartedAt: 1, Rate: 1, SentAgeMS: 1, ReceivedAgeMS: 2}, {Server: "i-0", StartedAt: 1, Rate: 1, SentAgeMS: 1 << 62},
		{Server: "i-0", StartedAt: 1, Rate: 1, SentAgeMS: -1, ReceivedAgeMS: -1},
	} {
		g.Expect(target.Merge(at(5), invalid)).To(Equal(Unchanged), "%+v", invalid)
	}
}

// Guards against statements that count as recent although the VM was suspended since.
func TestSuspensionMakesStatementsOlder(t *testing.T) {
	g := NewWithT(t)
	r, server := newRegistry()
	r.Receive(server, names(5, 1, 1.2))
	r.Skip(3 * time.Second)
	entry, _ := r.Entry(at(1.3), "i-0")
	g.Expect(entry.ReceivedAgeMS).To(Equal(int64(3100)))
}

// Guards against orders of responses in which a registry is wrong for good: after any history, one more response tells
// what the server says. While the server names limits only, no response makes the registry believe that it has none.
func TestAnyOrderOfResponsesConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, server := newRegistry()
		value := func(label string) float64 { return float64(rapid.IntRange(-1, 5).Draw(t, label)) }
		alwaysNames := rapid.Bool().Draw(t, "always names")
		type response struct{ sent, received, written float64 }
		var responses []response
		for range rapid.IntRange(1, 12).Draw(t, "responses") {
			sent := float64(rapid.IntRange(0, 50).Draw(t, "sent"))
			written := sent + float64(rapid.IntRange(1, 10).Draw(t, "work"))
			received := written + float64(rapid.IntRange(1, 10).Draw(t, "transfer"))
			responses = append(responses, response{sent: sent, received: received, written: written})
		}
		changes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) float64 { return float64(rapid.IntRange(-1, 5).Draw(t, "value")) }), 8, 8).Draw(t, "values")
		rateAt := func(written float64) float64 {
			rate := changes[int(written)/10%len(changes)]
			if alwaysNames {
				return max(rate, 0)
			}
			return rate
		}
		statement := func(x response) Statement {
			if rate := rateAt(x.written); rate >= 0 {
				return names(rate, x.sent, x.received)
			}
			return none(x.sent, x.received)
		}
		for now := 0.0; now < 100; now++ {
			for _, x := range responses {
				if x.received != now {
					continue
				}
				r.Receive(server, statement(x))
				if _, named := r.Named("i-0"); alwaysNames && !named {
					t.Fatalf("no limit at %v", now)
				}
			}
		}
		last := value("last")
		final := none(200, 201)
		if last >= 0 {
			final = names(last, 200, 201)
		}
		r.Receive(server, final)
		rate, named := r.Named("i-0")
		if named != (last >= 0) || named && rate != last {
			t.Fatalf("limit %v %v, the server says %v", rate, named, last)
		}
	})
}
