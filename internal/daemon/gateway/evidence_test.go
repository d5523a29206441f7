package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/internal/protocol/datagrams"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
)

const (
	crashingPart uint64 = 0xbad
	commonPart   uint64 = 0xa1
	evidenceTeam        = "farm"
)

// lastOwnPart is the last part that belongs to one request alone.
var lastOwnPart atomic.Uint64

// requestWith returns a request with shared parts and a last part of its own.
func requestWith(parts ...uint64) *poison.Request {
	identity := poison.RequestIdentity{Team: evidenceTeam, Method: http.MethodPost, Target: "/digest/x"}
	for _, part := range append(parts, 1000+lastOwnPart.Add(1)) {
		identity.Prompt = append(identity.Prompt, relay.PromptPart{ID: part})
	}
	return poison.NewRequest(identity)
}

// evidenceFleet is a fleet of routers that exchange reports and evidence in virtual time. All servers count as ended.
type evidenceFleet struct {
	*reportFleet
	// messages and bytes count the datagrams with evidence.
	messages, bytes atomic.Int64
}

func newEvidenceFleet(g Gomega, size int) *evidenceFleet {
	f := &evidenceFleet{}
	began := time.Now()
	clock := func() time.Duration { return time.Hour + time.Since(began) }
	f.reportFleet = newPreparedReportFleet(g, size, func(ctx context.Context, n *Node) {
		n.poison.guard = poison.NewGuard(poison.Options{
			Clock:   clock,
			Probe:   func(context.Context, *backends.Server) poison.ServerState { return poison.ServerEnded },
			Trials:  n.poison,
			OnCrash: n.poison.onCrash, OnCleared: n.poison.onCleared,
		})
		transmit := n.transmit
		n.transmit = func(to netip.AddrPort, data []byte) {
			if message, err := datagrams.Decode(data); err == nil {
				if _, ok := message.(poison.Evidence); ok {
					f.messages.Add(1)
					f.bytes.Add(int64(len(data)))
				}
			}
			transmit(to, data)
		}
		go periodic.Run(ctx, evidencePeriod, n.poison.gossip)
	})
	return f
}

func crashedServer(i int) *backends.Server {
	return &backends.Server{ID: fmt.Sprintf("i-%d", i), Service: "pool", Address: fmt.Sprintf("10.0.0.%d:80", i), StartedAt: 1}
}

// crash lets a router lose a request with the part and its server.
func (f *evidenceFleet) crash(router string, server int) {
	guard := f.nodes[router].poison.guard
	guard.Begin(crashedServer(server), requestWith(commonPart, crashingPart)).Lost(context.Background())
}

// prove lets a router get a response to a request without the part.
func (f *evidenceFleet) prove(router string) {
	f.nodes[router].poison.guard.Begin(crashedServer(200), requestWith(commonPart)).Complete()
}

// states counts the routers by what they know of a part.
func (f *evidenceFleet) states(part uint64) map[poison.State]int {
	counts := make(map[poison.State]int)
	for _, n := range f.nodes {
		counts[n.poison.guard.Check(requestWith(part)).State]++
	}
	return counts
}

// Guards against a fleet in which each router sees one crash of three and no router, or not all of them, blocks the part;
// against routers that start later and do not learn of it; and against a cost without crashes.
func TestEvidenceReachesTheWholeFleet(t *testing.T) {
	t.Parallel()
	for _, size := range []int{8, 65, 295} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newEvidenceFleet(g, size)
				defer f.killAll()
				time.Sleep(settleTime)
				f.prove("r-005")
				time.Sleep(time.Second)
				g.Expect(f.messages.Load()).To(BeZero(), "nothing is sent without a crash")
				for i := range 3 {
					f.prove("r-005")
					f.crash(fmt.Sprintf("r-%03d", i), i)
					time.Sleep(400 * time.Millisecond)
				}
				f.prove("r-005")
				time.Sleep(time.Second)
				t.Logf("%d messages with evidence, %d bytes in 2.2 s", f.messages.Load(), f.bytes.Load())
				g.Expect(f.states(crashingPart)).To(Equal(map[poison.State]int{poison.Blocked: size}))
				g.Expect(f.states(commonPart)).To(Equal(map[poison.State]int{poison.Clear: size}))
				f.kill("r-006")
				time.Sleep(time.Second)
				f.start("r-006", smallerCores)
				f.publish()
				time.Sleep(time.Second)
				g.Expect(f.states(crashingPart)).To(Equal(map[poison.State]int{poison.Blocked: size}))
				f.killAll()
			})
		})
	}
}

// Guards against a flood of messages after a crash of a server with many requests, each of which is suspected as a whole.
func TestManySuspectsInALargeFleet(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const size, suspects = 65, 100
		f := newEvidenceFleet(g, size)
		defer f.killAll()
		time.Sleep(settleTime)
		var attempts []*poison.Attempt
		for i := range suspects { // a crash has 64 candidates at most at one router
			guard := f.nodes[fmt.Sprintf("r-%03d", i%2)].poison.guard
			attempts = append(attempts, guard.Begin(crashedServer(1), requestWith()))
		}
		time.Sleep(time.Millisecond)
		for _, a := range attempts {
			go a.Lost(context.Background())
		}
		time.Sleep(2200 * time.Millisecond)
		t.Logf("%d messages with evidence, %d bytes in 2.2 s", f.messages.Load(), f.bytes.Load())
		for _, n := range f.nodes {
			g.Expect(n.poison.guard.List()).To(HaveLen(suspects))
		}
		g.Expect(f.messages.Load()).To(BeNumerically("<", 100*size))
		f.killAll()
	})
}

// Guards against two trials of a part at once in the whole fleet.
func TestOneTrialInTheWholeFleet(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newEvidenceFleet(g, 8)
		defer f.killAll()
		time.Sleep(settleTime)
		f.crash("r-005", 1)
		time.Sleep(time.Second)
		granted := 0
		var trial *poison.Trial
		for _, n := range f.nodes {
			if _, got := n.poison.guard.Permit(t.Context(), requestWith(crashingPart)); got != nil {
				granted++
				trial = got
			}
		}
		g.Expect(granted).To(Equal(1))
		g.Expect(trial.MaySend()).To(BeFalse(), "the others have waited for its outcome")
		trial.End()
		time.Sleep(time.Second)
		_, next := f.nodes["r-003"].poison.guard.Permit(t.Context(), requestWith(crashingPart))
		g.Expect(next).NotTo(BeNil())
		f.killAll()
	})
}
