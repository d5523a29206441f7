package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// silence is above the time after which a second server is tried, and below the client's deadline.
const silence = 1600 * time.Millisecond

// alternative is the state of the other server, if there is one, while the one that has the request is silent.
type alternative struct {
	name    string
	engines int
	mode    platformengine.Mode
}

var alternatives = []alternative{
	{"no other server", 1, platformengine.Silent},
	{"the other server is full", 2, platformengine.Full},
	{"the other server closes the connection", 2, platformengine.Reset},
	{"the other server is silent, too", 2, platformengine.Silent},
	{"the other server responds", 2, platformengine.Serve},
}

// newSilentHarness starts engines of which the first one falls silent and the others are in the given mode.
func newSilentHarness(t *testing.T, engines int, mode platformengine.Mode) *harness {
	t.Helper()
	h := newHarness(t, engines)
	h.setModes(mode)
	for _, e := range h.engines {
		e.Silence = silence
	}
	h.engines[0].SetMode(platformengine.Silent)
	return h
}

// Guards against a stream that is cut because its server sends nothing for a while, although the server goes on and no
// other server can take over.
func TestSilentServerDoesNotCutTheStream(t *testing.T) {
	for _, test := range alternatives {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			h := newSilentHarness(t, test.engines, test.mode)
			for _, attempt := range []string{"a1", "a2"} {
				r := h.stream("/digest/x", attempt)
				r.Header.Set("Deadline-Ms", "5000")
				resp := h.do(r)
				g.Expect(resp.err).NotTo(HaveOccurred())
				g.Expect(resp.status).To(Equal(http.StatusOK))
				g.Expect(strings.Count(resp.body, "id: ")).To(Equal(5), resp.body)
			}
		})
	}
}

// Guards against a failure in place of a response that its server sends after a silence.
func TestSilentServerDoesNotFailTheRequest(t *testing.T) {
	for _, test := range append(slices.Clone(alternatives), alternative{"the other server breaks off", 2, platformengine.Truncate}) {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			h := newSilentHarness(t, test.engines, test.mode)
			resp := h.do(h.request(http.MethodGet, "/lookup/x", "a1", ""))
			g.Expect(resp.err).NotTo(HaveOccurred())
			g.Expect(resp.status).To(Equal(http.StatusOK))
		})
	}
}

// Guards against two servers that continue one stream, and against load that stays counted at the slower one.
func TestSubstituteTakesOver(t *testing.T) {
	g := NewWithT(t)
	h := newSilentHarness(t, 2, platformengine.Serve)
	h.engines[0].Silence = time.Minute
	for i := range 2 {
		id := "a" + strconv.Itoa(i)
		r := h.stream("/digest/x", id)
		r.Header.Set("Deadline-Ms", "5000")
		resp := h.do(r)
		g.Expect(resp.err).NotTo(HaveOccurred())
		g.Expect(resp.status).To(Equal(http.StatusOK))
		g.Expect(strings.Count(resp.body, "id: ")).To(Equal(5))
		g.Expect(h.engines[1].Runs(id)).To(Equal(1))
	}
	g.Eventually(h.engines[0].Cancelled).Should(BeNumerically(">=", 1))
	g.Eventually(func() int {
		running := 0
		for _, load := range h.admission.OwnLoads() {
			running += load.Running
		}
		return running
	}).Should(BeZero())
}

// Guards against a substitute that is not cancelled after the first server has responded.
func TestSubstituteIsCancelled(t *testing.T) {
	g := NewWithT(t)
	h := newSilentHarness(t, 2, platformengine.Hang)
	r := h.stream("/digest/x", "a1")
	r.Header.Set("Deadline-Ms", "5000")
	resp := h.do(r)
	g.Expect(resp.status).To(Equal(http.StatusOK))
	g.Expect(strings.Count(resp.body, "id: ")).To(Equal(5))
	g.Eventually(h.engines[1].Cancelled, "2s").Should(BeNumerically(">=", 1))
	g.Eventually(func() int { return h.admission.OwnLoads()["i-b"].Running }, "2s").Should(BeZero())
}

// Guards against a second run of a request that may run only once, and against retries above the budget, because of a
// server that is silent.
func TestNoSubstituteWithoutPermit(t *testing.T) {
	g := NewWithT(t)
	h := newSilentHarness(t, 2, platformengine.Silent)
	resp := h.do(h.request(http.MethodPost, "/callout/x", "once", "call"))
	g.Expect(resp.status).To(Equal(http.StatusOK))
	g.Expect(h.totalRuns("once")).To(Equal(1))
	h.budget.SetBounds(0, 0)
	resp = h.do(h.request(http.MethodGet, "/lookup/x", "no-budget", ""))
	g.Expect(resp.status).To(Equal(http.StatusOK))
	g.Expect(h.totalRuns("no-budget")).To(Equal(1))
}

// Guards against a 502 in place of the failure that a substitute's server has returned, after the first server's
// response has ended early.
func TestFailureOfASubstituteIsForwarded(t *testing.T) {
	g := NewWithT(t)
	h := newScriptedHarness(t, func(_ http.ResponseWriter, r *http.Request, _ int) {
		select {
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(http.StatusInternalServerError) })
	resp := h.do(h.request(http.MethodGet, "/lookup/x", "a1", ""))
	g.Expect(resp.err).NotTo(HaveOccurred())
	g.Expect(resp.status).To(Equal(http.StatusInternalServerError))
	g.Expect(resp.header.Get("Instance-Signature")).NotTo(BeEmpty())
}

// Guards against a part of a server's failure that looks like the whole response.
func TestLongFailureIsNotForwardedInPart(t *testing.T) {
	g := NewWithT(t)
	h := newScriptedHarness(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write(make([]byte, 2*maxBufferedBytes))
	})
	resp := h.do(h.request(http.MethodPost, "/callout/x", "a1", "call"))
	g.Expect(resp.err).NotTo(HaveOccurred())
	g.Expect(resp.status).To(Equal(http.StatusBadGateway))
	g.Expect(resp.body).To(BeEmpty())
}
