package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/freshness"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// Guards against requests or responses that are modified in transit, and against headers between the router and one
// side that reach the other side.
func TestRequestsPassUnchanged(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	r := h.request(http.MethodPost, "/callout/shed%2F4?x=1&y=%20", "a1", "body of the call")
	r.Header.Set("Tenant", "somebody else")
	r.Header.Set("Kv-Hold", "7")
	r.Header.Set("X-Own", "kept")
	resp := h.do(r)
	g.Expect(resp.status).To(Equal(http.StatusOK))
	g.Expect(resp.body).To(Equal("answer of i-a"))
	g.Expect(resp.header.Get("Instance-Signature")).To(Equal("sig-i-a"))
	g.Expect(string(h.engines[0].Body("a1"))).To(Equal("body of the call"))
	header := h.engines[0].LastHeader()
	g.Expect(header.Get("Tenant")).To(Equal("farm"), "the team comes from the key")
	g.Expect(header.Get("Authorization")).To(BeEmpty(), "the key stays in the router")
	g.Expect(header.Get("Kv-Hold")).To(BeEmpty(), "clients cannot reserve capacity")
	g.Expect(header.Get("X-Own")).To(Equal("kept"))
	g.Expect(header.Get("Expect-Instance")).To(Equal("i-a"))
}

// Guards against a second run of a request that may run only once, and against refusals which imply that a request did
// not run although it may have.
func TestUnsafeRequestsRunAtMostOnce(t *testing.T) {
	for _, test := range []struct {
		mode   platformengine.Mode
		status int
	}{
		{platformengine.Reset, http.StatusBadGateway},
		{platformengine.Busy, http.StatusBadGateway},
		{platformengine.Truncate, http.StatusBadGateway},
		{platformengine.Unsigned, http.StatusBadGateway},
		// The response to this request may still follow one that belongs to another request.
		{platformengine.Foreign, http.StatusGatewayTimeout},
		{platformengine.Hang, http.StatusGatewayTimeout},
		{platformengine.Fail, http.StatusInternalServerError},
	} {
		h := newHarness(t, 2)
		h.setModes(test.mode)
		resp := h.do(h.request(http.MethodPost, "/callout/x", "once", "call"))
		g := NewWithT(t)
		g.Expect(resp.status).To(Equal(test.status), "mode %d", test.mode)
		g.Expect(h.totalRuns("once")).To(Equal(1), "mode %d", test.mode)
	}
}

// Guards against a refusal although another server would run the request, and against a refusal without Retry-After.
func TestFullServers(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 2)
	h.engines[0].SetMode(platformengine.Full)
	resp := h.do(h.request(http.MethodPost, "/callout/x", "other", "call"))
	g.Expect(resp.status).To(Equal(http.StatusOK))
	h = newHarness(t, 2)
	h.setModes(platformengine.Full)
	resp = h.do(h.request(http.MethodPost, "/callout/x", "none", "call"))
	g.Expect(resp.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(h.totalRuns("none")).To(BeZero())
}

// Guards against the failure of one server being visible to a client of an idempotent route.
func TestSafeRequestsAreRetried(t *testing.T) {
	for _, mode := range []platformengine.Mode{
		platformengine.Reset, platformengine.Fail, platformengine.Truncate, platformengine.Hang,
	} {
		g := NewWithT(t)
		h := newHarness(t, 2)
		h.engines[0].SetMode(mode)
		for range 3 {
			resp := h.do(h.request(http.MethodGet, "/lookup/x", "safe", ""))
			g.Expect(resp.status).To(Equal(http.StatusOK), "mode %d", mode)
		}
	}
}

// Guards against a 502 of the router in place of the server's response when no other server is available for a retry.
// This happened in an incident.
func TestServerFailureIsForwardedWithoutAlternative(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.setModes(platformengine.Fail)
	resp := h.do(h.request(http.MethodGet, "/lookup/x", "held", ""))
	g.Expect(resp.status).To(Equal(http.StatusInternalServerError))
	g.Expect(resp.header.Get("Instance-Signature")).To(Equal("sig-i-a"))
	g.Expect(h.totalRuns("held")).To(Equal(1))
}

// Guards against resumed streams with gaps, duplicate events or events joined from parts of two events.
func TestBrokenStreamIsResumed(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 2)
	complete := h.do(h.stream("/digest/x", "whole"))
	g.Expect(complete.err).NotTo(HaveOccurred())
	g.Expect(strings.Count(complete.body, "id: ")).To(Equal(5))
	for _, e := range h.engines {
		if e.Runs("whole") > 0 {
			e.SetMode(platformengine.Truncate)
		}
	}
	resumed := h.do(h.stream("/digest/x", "resumed"))
	g.Expect(resumed.err).NotTo(HaveOccurred())
	g.Expect(resumed.body).To(Equal(complete.body))
	g.Expect(h.totalRuns("resumed")).To(Equal(2))
}

// Guards against a truncated stream that looks complete, and against a second run of a stream that may run only once.
func TestBrokenNonResumableStreamIsAborted(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 2)
	h.setModes(platformengine.Truncate)
	resp := h.do(h.stream("/chat/x", "cut"))
	g.Expect(resp.err).To(HaveOccurred())
	g.Expect(resp.body).To(Equal("id: 1\ndata: t1\n\n"))
	g.Expect(h.totalRuns("cut")).To(Equal(1))
}

// Guards against engines that continue to process requests of disconnected clients.
func TestClientDisconnects(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.engines[0].Events, h.engines[0].Pause = 1000, 5*time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := http.DefaultTransport.RoundTrip(h.stream("/chat/x", "left").WithContext(ctx))
	g.Expect(err).NotTo(HaveOccurred())
	cancel()
	_ = resp.Body.Close()
	g.Eventually(h.engines[0].Cancelled, "2s").Should(Equal(1))
	g.Eventually(h.gateway.Active, "2s").Should(BeZero())
}

// Guards against accepting an API key that may have been removed, at a router whose configuration may be outdated.
func TestKeysNeedARecentConfiguration(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	*h.clock += 3900 * time.Millisecond
	g.Expect(h.do(h.request(http.MethodGet, "/lookup/x", "recent", "")).status).To(Equal(http.StatusOK))
	*h.clock += 200 * time.Millisecond
	resp := h.do(h.request(http.MethodGet, "/lookup/x", "stale", ""))
	g.Expect(resp.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(h.totalRuns("stale")).To(BeZero())
	g.Expect(h.do(h.request(http.MethodGet, "/open/x", "anonymous", "")).status).To(Equal(http.StatusOK))
}

// Guards against a router that has just started and serves by what a restored store lists, before it may rely on that: also
// requests without an API key must not reach servers that an operator has taken out of use.
func TestNothingIsServedBeforeTheFirstConfirmation(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	proof := freshness.NewProof(func() time.Duration { return *h.clock })
	h.gateway.opts.Proof = proof
	g.Expect(h.do(h.request(http.MethodGet, "/open/x", "early", "")).status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(h.totalRuns("early")).To(BeZero())
	proof.Confirm(*h.clock)
	g.Expect(h.do(h.request(http.MethodGet, "/open/x", "confirmed", "")).status).To(Equal(http.StatusOK))
}

// Guards against wrong statuses for requests that the configuration does not allow.
func TestRequestsThatAreNotAllowed(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	g.Expect(h.do(h.request(http.MethodGet, "/unknown/x", "a", "")).status).To(Equal(http.StatusNotFound))
	r := h.request(http.MethodGet, "/lookup/x", "b", "")
	r.Header.Set("Authorization", "Bearer wrong")
	g.Expect(h.do(r).status).To(Equal(http.StatusUnauthorized))
	large := h.do(h.request(http.MethodPost, "/callout/x", "c", strings.Repeat("x", 1<<20+1)))
	g.Expect(large.status).To(Equal(http.StatusRequestEntityTooLarge))
	h.gateway.opts.Routing = &routing.Holder{}
	g.Expect(h.do(h.request(http.MethodGet, "/lookup/x", "d", "")).status).To(Equal(http.StatusServiceUnavailable))
}

// Guards against a stopping router that accepts requests or lets clients keep their connections.
func TestStoppingRouterRefuses(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.gateway.StartDraining()
	resp := h.do(h.request(http.MethodGet, "/lookup/x", "leaving", ""))
	g.Expect(resp.status).To(Equal(http.StatusOK))
	h.gateway.StopAccepting()
	resp = h.do(h.request(http.MethodGet, "/lookup/x", "stopping", ""))
	g.Expect(resp.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(h.totalRuns("stopping")).To(BeZero())
}

// Guards against API keys and bodies in logs, and against failures without a log line that explains them.
func TestLogsExplainFailuresWithoutSecrets(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.setModes(platformengine.Reset)
	h.do(h.request(http.MethodPost, "/callout/x", "logged", "secret body"))
	found := false
	for _, entry := range h.logs.All() {
		text := entry.Message
		for _, f := range entry.Context {
			text += " " + f.String
		}
		g.Expect(text).NotTo(ContainSubstring(testKey))
		g.Expect(text).NotTo(ContainSubstring("secret body"))
		if entry.Message == "failed" && entry.ContextMap()["request"] == "logged" {
			found = true
			g.Expect(entry.ContextMap()).To(HaveKeyWithValue("server", "i-a"))
			g.Expect(entry.ContextMap()).To(HaveKey("error"))
		}
	}
	g.Expect(found).To(BeTrue(), "the failure is logged with the request's ID")
}

// Guards against body memory that is not released, which would eventually make the gateway refuse all requests.
func TestBodyMemoryIsReleased(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	for range 5 {
		h.do(h.request(http.MethodPost, "/callout/x", "counted", strings.Repeat("x", 1000)))
	}
	g.Eventually(h.account.Used).Should(BeZero())
}

// Guards against requests that are forwarded after their clients have given up: a router with an overloaded processor
// read requests seconds late and counted the clients' timeouts from then. Requests to plain services cost little and
// are still served.
func TestOverloadedProcessor(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.delay.Store(int64(maxSchedulingDelay + time.Millisecond))
	resp := h.do(h.stream("/chat/x", "a"))
	g.Expect(resp.status).To(Equal(http.StatusServiceUnavailable))
	expectSpreadRetryAfter(g, resp.header.Get("Retry-After"))
	g.Expect(h.totalRuns("a")).To(BeZero())
	g.Expect(h.do(h.request(http.MethodGet, "/lookup/x", "b", "")).status).To(Equal(http.StatusOK))
	h.delay.Store(int64(maxSchedulingDelay - time.Millisecond))
	late := h.stream("/chat/x", "c")
	late.Header.Set("Deadline-Ms", "150")
	g.Expect(h.do(late).status).To(Equal(http.StatusServiceUnavailable), "the client's deadline has passed")
	g.Expect(h.totalRuns("c")).To(BeZero())
	h.delay.Store(0)
	g.Expect(h.do(h.stream("/chat/x", "d")).status).To(Equal(http.StatusOK))
}

// expectSpreadRetryAfter checks that a Retry-After is retryAfterOverload, spread by at most 30% so that refused clients
// do not return all at once.
func expectSpreadRetryAfter(g Gomega, header string) {
	retryAfter, err := time.ParseDuration(header + "s")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(retryAfter).To(BeNumerically(">=", retryAfterOverload*7/10))
	g.Expect(retryAfter).To(BeNumerically("<=", retryAfterOverload*13/10))
}

// Guards against clients that an overloaded router refuses at the same time and that return at the same time.
func TestOverloadedClientsReturnSpread(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	values := make(map[string]bool)
	for range 20 {
		w := httptest.NewRecorder()
		h.gateway.RefuseOverloaded(w, h.stream("/chat/x", "a"))
		g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		g.Expect(w.Header().Get("Attempt-Id")).To(Equal("a"))
		expectSpreadRetryAfter(g, w.Header().Get("Retry-After"))
		values[w.Header().Get("Retry-After")] = true
	}
	g.Expect(len(values)).To(BeNumerically(">", 10))
}

// Guards against requests of plain services that are passed on or refused although they cost little.
func TestOnlyRequestsForModelEnginesAreMovable(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	g.Expect(h.gateway.ForModelEngine(h.stream("/chat/x", "a"))).To(BeTrue())
	g.Expect(h.gateway.ForModelEngine(h.request(http.MethodGet, "/lookup/x", "b", ""))).To(BeFalse())
	g.Expect(h.gateway.ForModelEngine(h.request(http.MethodGet, "/none/x", "c", ""))).To(BeFalse())
}

// Guards against a team whose demand is unknown to the other routers because its router refuses most of its requests
// for lack of processor time. The other routers then do not yield to the team.
func TestDemandRefusedForLackOfProcessorIsCounted(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.delay.Store(int64(2 * maxSchedulingDelay))
	g.Expect(h.do(h.stream("/digest/a", "a1")).status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(h.totalRuns("a1")).To(BeZero())
	usage := h.admission.OwnUsage()["farm"]
	g.Expect(usage.Asked).To(BeNumerically("~", 100+2*20, 1))
	g.Expect(usage.Served).To(BeZero())
}
