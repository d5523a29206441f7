package poison

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
)

// guardFixture is a guard in virtual time whose servers end when ended is set.
type guardFixture struct {
	*Guard
	ended atomic.Bool
	// alive is the ServerState while ended is not set.
	alive atomic.Int32
	// unanswered makes the owner of trials not answer.
	unanswered atomic.Bool
	checks     atomic.Int64
	crashes    atomic.Int64
	released   atomic.Int64
}

func newGuardFixture() *guardFixture {
	f := &guardFixture{}
	began := time.Now()
	f.Guard = NewGuard(Options{
		Clock: func() time.Duration { return start + time.Since(began) },
		Probe: func(context.Context, *backends.Server) ServerState {
			f.checks.Add(1)
			time.Sleep(10 * time.Millisecond)
			if f.ended.Load() {
				return ServerEnded
			}
			return ServerState(f.alive.Load())
		},
		Trials:    f,
		OnCrash:   func(*backends.Server, int, []Fingerprint) { f.crashes.Add(1) },
		OnCleared: func([]Fingerprint) {},
	})
	return f
}

// Acquire implements Trials.
func (f *guardFixture) Acquire(_ context.Context, ask Ask) Answer {
	switch {
	case f.unanswered.Load():
		return Unanswered
	case f.GrantTrial("r", ask):
		return Granted
	default:
		return Denied
	}
}

// Release implements Trials.
func (f *guardFixture) Release(fingerprint Fingerprint, sent bool) {
	f.released.Add(1)
	f.EndTrial("r", fingerprint, sent)
}

// testRequest returns a request of team a with shared parts. n makes it a request of its own.
func testRequest(n int, parts ...Fingerprint) *Request {
	identity := RequestIdentity{Team: teamA, Method: "POST", Target: "/digest/x?n=1"}
	for _, part := range append(slices.Clone(parts), ownPart(n)) {
		identity.Prompt = append(identity.Prompt, relay.PromptPart{ID: part.Hash})
	}
	return NewRequest(identity)
}

// lookup returns a request without parts.
func lookup(target string) *Request {
	return NewRequest(RequestIdentity{Team: teamA, Method: "GET", Target: target})
}

func testServer(id string) *backends.Server {
	return &backends.Server{ID: id, Service: service, Address: id + ":80", StartedAt: 7}
}

// Guards against a reset connection of a server that lives and is taken for its end.
func TestLostConnectionOfALiveServerIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newGuardFixture()
		a := f.Begin(testServer("i-1"), testRequest(1, bad))
		g.Expect(a.Lost(t.Context())).To(BeFalse())
		g.Expect(f.Check(testRequest(9, bad)).State).To(Equal(Clear))
		g.Expect(f.servers).To(BeEmpty())
	})
}

// Guards against a crash that counts once for each request on the server, and against requests that had been written for
// a while and count as its cause.
func TestCrashCountsOnceForAllItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newGuardFixture()
		f.ended.Store(true)
		server := testServer("i-1")
		long := f.Begin(server, testRequest(0, topic))
		g.Expect(long.Event()).To(BeFalse())
		time.Sleep(minProofTime)
		g.Expect(long.Event()).To(BeTrue())
		time.Sleep(2 * proofWindow)
		var attempts []*Attempt
		for i := range 3 {
			attempts = append(attempts, f.Begin(server, testRequest(10+i, bad, ownPart(i))))
		}
		attempts = append(attempts, long)
		for _, a := range attempts {
			go func() {
				if !a.Lost(t.Context()) {
					t.Error("the server has ended")
				}
			}()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(f.crashes.Load()).To(Equal(int64(1)))
		g.Expect(f.checks.Load()).To(Equal(int64(1)))
		g.Expect(f.Check(testRequest(9, bad)).Crashes).To(Equal(1))
		g.Expect(f.Check(testRequest(9, topic)).State).To(Equal(Clear))
		g.Expect(f.servers).To(BeEmpty())
	})
}

// Guards against a router that was suspended and sends a request on a trial that has passed to another one.
func TestTrialEndsWhileTheRouterIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newGuardFixture()
		f.crash("i-1", testRequest(1, topic))
		verdict, held := f.Permit(t.Context(), testRequest(1, topic))
		g.Expect(verdict.State).To(Equal(Suspected))
		g.Expect(held.MaySend()).To(BeTrue())
		time.Sleep(TrialSendTime + time.Millisecond)
		g.Expect(held.MaySend()).To(BeFalse())
		held.End()
		held.End()
		g.Expect(f.released.Load()).To(Equal(int64(1)))
	})
}

// crash ends a server on which requests had just begun.
func (f *guardFixture) crash(server string, requests ...*Request) {
	f.ended.Store(true)
	defer f.ended.Store(false)
	var attempts []*Attempt
	for _, r := range requests {
		attempts = append(attempts, f.Begin(testServer(server), r))
	}
	time.Sleep(time.Millisecond)
	for _, a := range attempts {
		a.Lost(context.Background())
	}
}

// serve completes a request on a server.
func (f *guardFixture) serve(r *Request) {
	a := f.Begin(testServer("i-sound"), r)
	time.Sleep(time.Millisecond)
	a.Complete()
}

// Guards against a request without shared parts that is not followed, so that it goes on to crash servers.
func TestRequestWithoutSharedPartsIsSuspectedAsAWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newGuardFixture()
		f.crash("i-1", lookup("/lookup/bad"))
		verdict := f.Check(lookup("/lookup/bad"))
		g.Expect(verdict.State).To(Equal(Suspected))
		g.Expect(verdict.Fingerprint.Kind).To(Equal(KindRequest))
		g.Expect(f.Check(lookup("/lookup/other")).State).To(Equal(Clear))
		for i := range 2 {
			time.Sleep(time.Second)
			f.serve(lookup("/lookup/other"))
			f.crash(fmt.Sprint("i-", 2+i), lookup("/lookup/bad"))
		}
		g.Expect(f.Check(lookup("/lookup/bad")).State).To(Equal(Blocked))
		g.Expect(f.List()).To(ContainElement(HaveField("Path", "/lookup/bad")))
	})
}

// Guards against a request that is refused because the server that ran it has ended for another reason, and against one
// that has to wait longer than one trial takes.
func TestSoundRequestOfACrashedServerIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newGuardFixture()
		for i := range 3 {
			f.crash(fmt.Sprint("i-", i), lookup("/lookup/popular"))
		}
		_, trial := f.Permit(t.Context(), lookup("/lookup/popular"))
		g.Expect(trial).NotTo(BeNil())
		waited := make(chan State)
		go func() {
			verdict, _ := f.Permit(t.Context(), lookup("/lookup/popular"))
			waited <- verdict.State
		}()
		time.Sleep(100 * time.Millisecond)
		f.serve(lookup("/lookup/popular"))
		trial.End()
		g.Expect(<-waited).To(Equal(Clear))
	})
}

// Guards against a crash that stays unseen because another process holds the port, and against a server that closes new
// connections only because it has too many and is taken for an ended one.
func TestServerThatClosesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newGuardFixture()
		f.alive.Store(int32(ServerClosing))
		survivor := f.Begin(testServer("i-1"), lookup("/lookup/1"))
		time.Sleep(time.Millisecond)
		a := f.Begin(testServer("i-1"), lookup("/lookup/bad"))
		time.Sleep(time.Millisecond)
		g.Expect(a.Lost(t.Context())).To(BeFalse(), "another request still has its connection")
		survivor.Complete()
		a = f.Begin(testServer("i-1"), lookup("/lookup/bad"))
		time.Sleep(time.Millisecond)
		g.Expect(a.Lost(t.Context())).To(BeTrue())
		g.Expect(f.Check(lookup("/lookup/bad")).State).To(Equal(Suspected))
	})
}

// Guards against requests that are suspected because they reach a server after it has ended.
func TestRequestThatFindsAnEndedServerIsNoSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newGuardFixture()
		f.crash("i-1", lookup("/lookup/bad"))
		time.Sleep(100 * time.Millisecond)
		a := f.Begin(testServer("i-1"), lookup("/lookup/late"))
		time.Sleep(time.Millisecond)
		g.Expect(a.Lost(t.Context())).To(BeTrue())
		g.Expect(f.Check(lookup("/lookup/late")).State).To(Equal(Clear))
	})
}

// Guards against requests that are suspected because they were about to connect to a server when its end was confirmed.
func TestRequestThatConnectsToAnEndedServerIsNoSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newGuardFixture()
		f.ended.Store(true)
		bad := f.Begin(testServer("i-1"), lookup("/lookup/bad"))
		time.Sleep(time.Millisecond)
		lost := make(chan bool)
		go func() { lost <- bad.Lost(t.Context()) }()
		time.Sleep(time.Millisecond)
		late := f.Begin(testServer("i-1"), lookup("/lookup/late"))
		g.Expect(<-lost).To(BeTrue())
		late.End() // the connection was refused
		g.Expect(f.Check(lookup("/lookup/bad")).State).To(Equal(Suspected))
		g.Expect(f.Check(lookup("/lookup/late")).State).To(Equal(Clear))
	})
}

// Guards against sound requests that fail because the router that grants the trials was lost, and against more than one
// trial of a router without it.
func TestTrialWithoutItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newGuardFixture()
		f.unanswered.Store(true)
		bad := func() *Request { return lookup("/lookup/bad") }
		f.crash("i-1", bad())
		_, trial := f.Permit(t.Context(), bad())
		g.Expect(trial).NotTo(BeNil())
		g.Expect(trial.MaySend()).To(BeTrue())
		_, second := f.Permit(t.Context(), bad())
		g.Expect(second).To(BeNil())
		time.Sleep(time.Second)
		f.crash("i-2", bad())
		trial.End()
		g.Expect(f.released.Load()).To(BeZero())
		time.Sleep(10 * time.Second)
		_, third := f.Permit(t.Context(), bad())
		g.Expect(third).To(BeNil(), "two crashes")
	})
}

// Guards against a proof that is lost because the body was too large to hash while nothing was suspected.
func TestProofOfALargeRequestClearsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newGuardFixture()
		large := func() *Request {
			return NewRequest(RequestIdentity{Team: teamA, Method: "POST", Target: "/x", Body: make([]byte, 72<<10)})
		}
		f.serve(large())
		g.Expect(f.detector.proofs.current).To(BeEmpty(), "not hashed")
		f.crash("i-1", large())
		g.Expect(f.Check(large()).State).To(Equal(Suspected))
		f.serve(large())
		g.Expect(f.Check(large()).State).To(Equal(Clear))
	})
}

// Guards against evidence that other routers cannot decode because the path of the request has bytes that are no text.
func TestEvidenceOfARequestWithAnyPathIsDecoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newGuardFixture()
		for i, target := range []string{"/caf\xff\xfe", "/" + strings.Repeat("é", maxPathBytes) + "?q=1", "/plain?secret=1"} {
			f.crash(fmt.Sprint("i-", i), lookup(target))
		}
		messages := Split("r", f.Recent())
		g.Expect(messages).NotTo(BeEmpty())
		for _, m := range messages {
			data, err := cbor.Marshal(m)
			g.Expect(err).NotTo(HaveOccurred())
			var decoded Evidence
			g.Expect(cbor.Unmarshal(data, &decoded)).To(Succeed())
			for _, e := range decoded.Fingerprints {
				g.Expect(e.Path).NotTo(ContainSubstring("secret"))
			}
		}
	})
}

// Guards against attempts that are not followed and fail.
func TestAttemptThatIsNotFollowed(t *testing.T) {
	g := NewWithT(t)
	var a *Attempt
	a.Event()
	a.Complete()
	a.End()
	g.Expect(a.Lost(t.Context())).To(BeFalse())
}
