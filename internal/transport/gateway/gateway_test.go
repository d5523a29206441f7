package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// Guards against requests or answers that change on their way, and against headers of one side that reach the other.
func TestRequestsPassUnchanged(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1)
	r := w.request(http.MethodPost, "/callout/shed%2F4?x=1&y=%20", "a1", "body of the call")
	r.Header.Set("Tenant", "somebody else")
	r.Header.Set("Kv-Hold", "7")
	r.Header.Set("X-Own", "kept")
	a := w.do(r)
	g.Expect(a.status).To(Equal(http.StatusOK))
	g.Expect(a.body).To(Equal("answer of i-a"))
	g.Expect(a.header.Get("Instance-Signature")).To(Equal("sig-i-a"))
	g.Expect(string(w.engines[0].Body("a1"))).To(Equal("body of the call"))
	head := w.engines[0].Head()
	g.Expect(head.Get("Tenant")).To(Equal("farm"), "the team comes from the key")
	g.Expect(head.Get("Authorization")).To(BeEmpty(), "the key stays in the router")
	g.Expect(head.Get("Kv-Hold")).To(BeEmpty(), "clients do not reserve places")
	g.Expect(head.Get("X-Own")).To(Equal("kept"))
	g.Expect(head.Get("Expect-Instance")).To(Equal("i-a"))
}

// Guards against a second run of a request that may run once, and against refusals that promise a request did not run.
func TestUnsafeRequestsRunAtMostOnce(t *testing.T) {
	for _, test := range []struct {
		mode   platformengine.Mode
		status int
	}{
		{platformengine.Reset, http.StatusBadGateway},
		{platformengine.Busy, http.StatusBadGateway},
		{platformengine.Truncate, http.StatusBadGateway},
		{platformengine.Unsigned, http.StatusBadGateway},
		// The engine's own answer may still come after one that belongs to another request.
		{platformengine.Foreign, http.StatusGatewayTimeout},
		{platformengine.Hang, http.StatusGatewayTimeout},
		{platformengine.Fail, http.StatusInternalServerError},
	} {
		w := newWorld(t, 2)
		w.setModes(test.mode)
		a := w.do(w.request(http.MethodPost, "/callout/x", "once", "call"))
		g := NewWithT(t)
		g.Expect(a.status).To(Equal(test.status), "mode %d", test.mode)
		g.Expect(w.runs("once")).To(Equal(1), "mode %d", test.mode)
	}
}

// Guards against a refusal where another server would run the request, and against a refusal without a time to return.
func TestServersWithoutRoom(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 2)
	w.engines[0].SetMode(platformengine.Full)
	a := w.do(w.request(http.MethodPost, "/callout/x", "other", "call"))
	g.Expect(a.status).To(Equal(http.StatusOK))
	w = newWorld(t, 2)
	w.setModes(platformengine.Full)
	a = w.do(w.request(http.MethodPost, "/callout/x", "none", "call"))
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(w.runs("none")).To(BeZero())
}

// Guards against the failure of one server that a client of an idempotent route sees.
func TestSafeRequestsAreRepeated(t *testing.T) {
	for _, mode := range []platformengine.Mode{platformengine.Reset, platformengine.Fail, platformengine.Truncate, platformengine.Hang} {
		g := NewWithT(t)
		w := newWorld(t, 2)
		w.engines[0].SetMode(mode)
		for range 3 {
			a := w.do(w.request(http.MethodGet, "/lookup/x", "safe", ""))
			g.Expect(a.status).To(Equal(http.StatusOK), "mode %d", mode)
		}
	}
}

// Guards against a failure of the router's own in place of the server's answer. Seen in an incident: no other server was
// open for the repeat, and the client got 502.
func TestServersFailureGoesOutWhenNoOtherAnswers(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1)
	w.setModes(platformengine.Fail)
	a := w.do(w.request(http.MethodGet, "/lookup/x", "held", ""))
	g.Expect(a.status).To(Equal(http.StatusInternalServerError))
	g.Expect(a.header.Get("Instance-Signature")).To(Equal("sig-i-a"))
	g.Expect(w.runs("held")).To(Equal(1))
}

// Guards against streams with gaps, doubled events or joined pieces of two events.
func TestBrokenStreamIsResumed(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 2)
	whole := w.do(w.stream("/digest/x", "whole"))
	g.Expect(whole.err).NotTo(HaveOccurred())
	g.Expect(strings.Count(whole.body, "id: ")).To(Equal(5))
	for _, e := range w.engines {
		if e.Runs("whole") > 0 {
			e.SetMode(platformengine.Truncate)
		}
	}
	resumed := w.do(w.stream("/digest/x", "resumed"))
	g.Expect(resumed.err).NotTo(HaveOccurred())
	g.Expect(resumed.body).To(Equal(whole.body))
	g.Expect(w.runs("resumed")).To(Equal(2))
}

// Guards against an answer that broke off and looks whole, and against a second run of a stream that may run once.
func TestBrokenStreamThatMayRunOnceIsCut(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 2)
	w.setModes(platformengine.Truncate)
	a := w.do(w.stream("/chat/x", "cut"))
	g.Expect(a.err).To(HaveOccurred())
	g.Expect(a.body).To(Equal("id: 1\ndata: t1\n\n"))
	g.Expect(w.runs("cut")).To(Equal(1))
}

// Guards against engines that work for clients who have left.
func TestClientLeaves(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1)
	w.engines[0].Events, w.engines[0].Pause = 1000, 5*time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := http.DefaultTransport.RoundTrip(w.stream("/chat/x", "left").WithContext(ctx))
	g.Expect(err).NotTo(HaveOccurred())
	cancel()
	_ = resp.Body.Close()
	g.Eventually(w.engines[0].Cancelled, "2s").Should(Equal(1))
	g.Eventually(w.gateway.Active, "2s").Should(BeZero())
}

// Guards against a key that works after it may have been removed, at a router that cannot know.
func TestKeysNeedARecentConfiguration(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1)
	*w.clock += 3900 * time.Millisecond
	g.Expect(w.do(w.request(http.MethodGet, "/lookup/x", "recent", "")).status).To(Equal(http.StatusOK))
	*w.clock += 200 * time.Millisecond
	a := w.do(w.request(http.MethodGet, "/lookup/x", "stale", ""))
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.runs("stale")).To(BeZero())
	g.Expect(w.do(w.request(http.MethodGet, "/open/x", "anonymous", "")).status).To(Equal(http.StatusOK))
}

// Guards against wrong answers to requests that the configuration does not allow.
func TestRequestsThatAreNotAllowed(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1)
	g.Expect(w.do(w.request(http.MethodGet, "/unknown/x", "a", "")).status).To(Equal(http.StatusNotFound))
	r := w.request(http.MethodGet, "/lookup/x", "b", "")
	r.Header.Set("Authorization", "Bearer wrong")
	g.Expect(w.do(r).status).To(Equal(http.StatusUnauthorized))
	large := w.do(w.request(http.MethodPost, "/callout/x", "c", strings.Repeat("x", 1<<20+1)))
	g.Expect(large.status).To(Equal(http.StatusRequestEntityTooLarge))
	w.gateway.opts.Routing = &routing.Holder{}
	g.Expect(w.do(w.request(http.MethodGet, "/lookup/x", "d", "")).status).To(Equal(http.StatusServiceUnavailable))
}

// Guards against requests that are taken on by a router that stops, and connections that clients go on using there.
func TestStoppingRouterRefuses(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1)
	w.gateway.Leave()
	a := w.do(w.request(http.MethodGet, "/lookup/x", "leaving", ""))
	g.Expect(a.status).To(Equal(http.StatusOK))
	w.gateway.Stop()
	a = w.do(w.request(http.MethodGet, "/lookup/x", "stopping", ""))
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.runs("stopping")).To(BeZero())
}

// Guards against keys and bodies in logs, and against failures that logs do not explain.
func TestLogsExplainAndKeepSecrets(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1)
	w.setModes(platformengine.Reset)
	w.do(w.request(http.MethodPost, "/callout/x", "logged", "secret body"))
	found := false
	for _, entry := range w.logs.All() {
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
	g.Expect(found).To(BeTrue(), "the failure has a line with the request's ID")
}

// Guards against memory that is not given back, which would refuse all requests in the end.
func TestBodiesAreAccounted(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1)
	for range 5 {
		w.do(w.request(http.MethodPost, "/callout/x", "counted", strings.Repeat("x", 1000)))
	}
	g.Eventually(w.gateway.bodies.Load).Should(BeZero())
}

// Guards against requests that are passed on after their clients have left: a router whose processor was behind read
// requests seconds late, and counted the clients' time from then. Plain calls cost little and go on.
func TestOverloadedProcessor(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1)
	w.delay.Store(int64(maxDelay + time.Millisecond))
	a := w.do(w.stream("/chat/x", "a"))
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(a.header.Get("Retry-After")).To(Equal("1.000"))
	g.Expect(w.runs("a")).To(BeZero())
	g.Expect(w.do(w.request(http.MethodGet, "/lookup/x", "b", "")).status).To(Equal(http.StatusOK))
	w.delay.Store(int64(maxDelay - time.Millisecond))
	late := w.stream("/chat/x", "c")
	late.Header.Set("Deadline-Ms", "150")
	g.Expect(w.do(late).status).To(Equal(http.StatusServiceUnavailable), "the client's time is over")
	g.Expect(w.runs("c")).To(BeZero())
	w.delay.Store(0)
	g.Expect(w.do(w.stream("/chat/x", "d")).status).To(Equal(http.StatusOK))
}
