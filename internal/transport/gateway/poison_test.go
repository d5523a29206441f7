package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// newCrashingHarness starts a gateway and n engines that end on the part "bad" and stay away.
func newCrashingHarness(t *testing.T, n int) (*harness, []*platformengine.Host) {
	t.Helper()
	var hosts []*platformengine.Host
	var engines []*platformengine.Engine
	var addresses []string
	for i := range n {
		e := platformengine.New("i-" + string(rune('a'+i)))
		host, err := platformengine.StartHost(e, time.Minute, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(host.Close)
		e.SetPoison(host.Crash, "bad")
		hosts, engines, addresses = append(hosts, host), append(engines, e), append(addresses, host.Address())
	}
	h := newGatewayHarness(t, addresses)
	h.engines = engines
	return h, hosts
}

func (h *harness) streamOf(path, attempt, parts string) *http.Request {
	r := h.stream(path, attempt)
	r.Header.Set("Prefix-Hash", parts)
	return r
}

func crashes(hosts []*platformengine.Host) int {
	n := 0
	for _, host := range hosts {
		n += host.Crashes()
	}
	return n
}

// Guards against a retry that takes a request to a second server after it has ended the first one.
func TestPoisonousRequestIsNotRetried(t *testing.T) {
	g := NewWithT(t)
	h, hosts := newCrashingHarness(t, 4)
	g.Expect(h.do(h.streamOf("/digest/x", "sound", "a1:60,c1:20")).status).To(Equal(http.StatusOK))
	g.Expect(h.do(h.streamOf("/digest/x", "bad", "a1:60,bad:20,c1:20")).status).To(Equal(http.StatusBadGateway))
	g.Expect(crashes(hosts)).To(Equal(1))
	entries := h.logs.FilterMessage("failed").All()
	g.Expect(entries).To(HaveLen(1))
	g.Expect(entries[0].ContextMap()).To(HaveKeyWithValue("retry_denied", string(denialPart)))
}

// Guards against a substitute that takes a trial to a second server while the first one is quiet.
func TestTrialHasNoSubstitute(t *testing.T) {
	g := NewWithT(t)
	h, hosts := newCrashingHarness(t, 4)
	g.Expect(h.do(h.streamOf("/digest/x", "bad", "a1:60,bad:20,c1:20")).status).To(Equal(http.StatusBadGateway))
	h.setModes(platformengine.Hang)
	r := h.streamOf("/digest/x", "trial", "bad:60,c1:20")
	r.Header.Set("Deadline-Ms", "2000")
	// The part ends the second server, so a trial that is quiet needs a server that only hangs.
	for i, e := range h.engines {
		e.SetPoison(hosts[i].Crash)
	}
	g.Expect(h.do(r).status).To(Equal(http.StatusGatewayTimeout))
	g.Expect(h.totalRuns("trial")).To(Equal(1))
}

// Guards against sound streams that are cut because another request has ended their server.
func TestStreamsOfACrashedServerAreResumed(t *testing.T) {
	g := NewWithT(t)
	h, hosts := newCrashingHarness(t, 2)
	for _, e := range h.engines {
		e.Events, e.Pause = 30, 50*time.Millisecond
	}
	done := make(chan clientResponse, 1)
	go func() { done <- h.do(h.streamOf("/digest/x", "sound", "a1:60,c1:20")) }()
	time.Sleep(minProof + 200*time.Millisecond)
	for _, host := range hosts {
		if host.Engine().Runs("sound") > 0 {
			host.Crash()
		}
	}
	response := <-done
	g.Expect(response.err).NotTo(HaveOccurred())
	g.Expect(response.status).To(Equal(http.StatusOK))
	g.Expect(h.totalRuns("sound")).To(Equal(2))
}

// minProof is how long a server has to write for its response to be a proof.
const minProof = 500 * time.Millisecond

// Guards against parts that are suspected although no server has crashed: connections that are reset, servers that fall
// silent, truncate their responses, leave, or refuse.
func TestOtherFailuresSuspectNoPart(t *testing.T) {
	for _, mode := range []platformengine.Mode{
		platformengine.Reset, platformengine.Hang, platformengine.Truncate, platformengine.Full, platformengine.Fail,
		platformengine.Foreign, platformengine.EndlessHead,
	} {
		t.Run(fmt.Sprint(mode), func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, 2)
			h.setModes(mode)
			for i := range 4 {
				r := h.streamOf("/chat/x", fmt.Sprint(i), "a1:60,bad:20,c1:20")
				r.Header.Set("Deadline-Ms", "400")
				h.do(r)
			}
			g.Expect(h.gateway.opts.Poison.List()).To(BeEmpty())
		})
	}
}

// Guards against a refusal that does not say why, and that is counted as demand of the team.
func TestBlockedPartIsRefusedWithItsReason(t *testing.T) {
	g := NewWithT(t)
	h, hosts := newCrashingHarness(t, 6)
	badRequest := poison.NewRequest(poison.RequestIdentity{Team: "farm", Prompt: []relay.PromptPart{{ID: 0xbad}, {ID: 1}}})
	deadline := time.Now().Add(10 * time.Second)
	for n := 0; h.gateway.opts.Poison.Check(badRequest).State != poison.Blocked; n++ {
		g.Expect(time.Now().Before(deadline)).To(BeTrue())
		h.do(h.streamOf("/chat/x", fmt.Sprint("bad-", n), fmt.Sprintf("a1:60,bad:20,c%x:20", n)))
		h.do(h.streamOf("/chat/x", fmt.Sprint("sound-", n), fmt.Sprintf("a1:60,c%x:20", n)))
		time.Sleep(100 * time.Millisecond)
	}
	g.Expect(crashes(hosts)).To(Equal(3))
	response := h.do(h.streamOf("/chat/x", "refused", "a1:60,bad:20,cfff:20"))
	g.Expect(response.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.header.Get("Retry-After")).NotTo(BeEmpty())
	entries := h.logs.FilterMessage("refused").All()
	fields := entries[len(entries)-1].ContextMap()
	g.Expect(fields).To(And(HaveKeyWithValue("reason", refusalBlockedPart), HaveKeyWithValue("part", "bad"),
		HaveKeyWithValue("crashes", int64(3)), HaveKeyWithValue("servers", HaveLen(3))))
	g.Expect(h.do(h.streamOf("/chat/x", "sound", "a1:60,cfff:20")).status).To(Equal(http.StatusOK))
}

// Guards against the refusal of a request that has crashed servers without its reason, or with a return time of a second,
// and against a 503 for a request that may have run.
func TestBlockedRequestIsRefusedWithItsReason(t *testing.T) {
	for _, path := range []string{"/lookup/bad", "/callout/bad"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			h, hosts := newCrashingHarness(t, 6)
			for i, e := range h.engines {
				e.SetPoisonRequest(hosts[i].Crash, func(r *http.Request) bool { return r.URL.Path == path })
			}
			send := func(attempt, path string) clientResponse {
				return h.do(h.request(http.MethodPost, path, attempt, "body"))
			}
			for n := 0; crashes(hosts) < 3; n++ {
				g.Expect(n).To(BeNumerically("<", 20))
				runs := h.totalRuns(fmt.Sprint("bad-", n))
				response := send(fmt.Sprint("bad-", n), path)
				if h.totalRuns(fmt.Sprint("bad-", n)) > runs {
					g.Expect(response.status).To(Equal(http.StatusBadGateway))
				}
				g.Expect(send(fmt.Sprint("sound-", n), path+"x").status).To(Equal(http.StatusOK))
				time.Sleep(200 * time.Millisecond)
			}
			response := send("refused", path)
			g.Expect(response.status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(strconv.ParseFloat(response.header.Get("Retry-After"), 64)).To(BeNumerically(">", 10))
			entries := h.logs.FilterMessage("refused").All()
			fields := entries[len(entries)-1].ContextMap()
			g.Expect(fields).To(And(HaveKeyWithValue("reason", refusalBlockedRequest), HaveKeyWithValue("crashes", int64(3)),
				HaveKeyWithValue("fingerprint", HavePrefix("request-")), HaveKeyWithValue("servers", HaveLen(3))))
			failed := h.logs.FilterMessage("failed").All()
			g.Expect(failed[0].ContextMap()["fingerprint"]).To(Equal(fields["fingerprint"]))
			other := h.request(http.MethodPost, path, "other", "body")
			g.Expect(h.gateway.opts.Poison.List()).To(ContainElement(HaveField("Path", other.URL.Path)))
			g.Expect(crashes(hosts)).To(Equal(3))
		})
	}
}

// Guards against clients of sound requests that get a failure because another request has crashed their server, although
// theirs may run again.
func TestSoundRequestsOfACrashedServerRunAgain(t *testing.T) {
	g := NewWithT(t)
	h, hosts := newCrashingHarness(t, 3)
	h.setModes(platformengine.Silent)
	for _, e := range h.engines {
		e.Silence = 100 * time.Millisecond
	}
	const requests = 30
	statuses := make(chan int, requests)
	for n := range requests {
		go func() {
			statuses <- h.do(h.request(http.MethodGet, fmt.Sprint("/lookup/", n), fmt.Sprint("sound-", n), "")).status
		}()
	}
	time.Sleep(50 * time.Millisecond)
	hosts[0].Crash()
	served := 0
	for range requests {
		if <-statuses == http.StatusOK {
			served++
		}
	}
	g.Expect(served).To(Equal(requests))
	g.Expect(h.logs.FilterMessage("trial").Len()).To(BeNumerically(">", 0), "some of them were on the crashed server")
}
