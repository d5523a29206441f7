package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// endingTime is when the request of a case is sent. Other times are relative to it.
var endingTime = time.Now().Add(-time.Minute)

func at(ms int) time.Time { return endingTime.Add(time.Duration(ms) * time.Millisecond) }

// cutStream is a stream that ended early after 1.6 s.
func cutStream(r *router) sentRequest {
	return sentRequest{
		id: "a1", path: resumableRoute, router: r, start: at(0), written: at(1), end: at(1600), status: http.StatusOK,
		err: io.ErrUnexpectedEOF,
	}
}

func interrupted(ms int, signal syscall.Signal) func(*deployment, *sentRequest) {
	return func(_ *deployment, s *sentRequest) {
		s.router.interruptions = []interruption{{at: at(ms), signal: signal}}
	}
}

func broke(from, to int) func(*deployment, *sentRequest) {
	return func(d *deployment, _ *sentRequest) { d.engines[0].breaks = []span{{at(from), at(to)}} }
}

func answered(status int) func(*deployment, *sentRequest) {
	return func(_ *deployment, s *sentRequest) { s.err, s.status = nil, status }
}

// Guards against a check that excuses too much and so misses a router that cuts an answer without an allowed reason.
func TestEndingsWithoutAnAllowedReasonAreReported(t *testing.T) {
	tests := []struct {
		name   string
		change func(*deployment, *sentRequest)
		want   string
	}{
		{"a stream is cut", func(*deployment, *sentRequest) {}, "broke off the answer"},
		{"a stream is cut by the engine", broke(1500, 1700), ""},
		{"a stream is cut after the engine recovered", broke(-900, -100), "broke off the answer"},
		{"a stream is cut at the deadline", func(_ *deployment, s *sentRequest) { s.end = at(4000) }, ""},
		{"a stream is cut at a reduced timeout", func(d *deployment, s *sentRequest) {
			d.timeouts, s.end = append(d.timeouts, timeoutChange{at(-500), shortTimeout}), at(3000)
		}, ""},
		{"a stream is cut long after a timeout was reduced", func(d *deployment, s *sentRequest) {
			d.timeouts = append(d.timeouts, timeoutChange{at(-20_000), shortTimeout}, timeoutChange{at(-19_000), routeTimeout})
			s.end = at(3000)
		}, "broke off the answer"},
		{"the router is killed", interrupted(1599, syscall.SIGKILL), ""},
		{"a graceful shutdown cuts a stream", interrupted(500, syscall.SIGTERM), "broke off the answer"},
		{"the grace time ends", interrupted(-1800, syscall.SIGTERM), ""},
		{"the grace time ends for a request that was accepted late", func(_ *deployment, s *sentRequest) {
			s.router.interruptions = []interruption{{at: at(-3200), signal: syscall.SIGTERM}}
			s.end = at(300)
		}, "broke off the answer"},
		{"the client leaves", func(_ *deployment, s *sentRequest) { s.abandoned = true }, ""},
		{"there is no answer", func(_ *deployment, s *sentRequest) { s.status = 0 }, "no answer from"},
		{"the engine broke off before the answer began", func(d *deployment, s *sentRequest) {
			s.status, d.engines[0].breaks = 0, []span{{at(1500), at(1700)}}
		}, "no answer from"},
		{"a received request ends early", func(_ *deployment, s *sentRequest) { s.status, s.end = 0, at(100) }, "no answer from"},
		{"a request crosses the close", func(_ *deployment, s *sentRequest) { s.id, s.status, s.end = "a2", 0, at(100) }, ""},
		{"the request was not written", func(_ *deployment, s *sentRequest) { s.status, s.written = 0, time.Time{} }, ""},
		{"a silent engine leads to a failure", answered(http.StatusGatewayTimeout), "needless 504"},
		{"a request that may run once fails", func(_ *deployment, s *sentRequest) {
			s.err, s.status, s.path = nil, http.StatusGatewayTimeout, unsafeRoute
		}, ""},
		{"a request is refused", answered(http.StatusServiceUnavailable), ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := &engine{Engine: platformengine.New("i-0")}
			e.Record()
			received := httptest.NewRequest(http.MethodPost, "/", nil)
			received.Header.Set("Attempt-Id", "a1")
			e.ServeHTTP(httptest.NewRecorder(), received)
			d := &deployment{report: &report{}, engines: []*engine{e}, timeouts: []timeoutChange{{at(-30_000), routeTimeout}}}
			s := cutStream(&router{name: "r-0"})
			test.change(d, &s)
			d.checkEndings([]sentRequest{s})
			var want []any
			if test.want != "" {
				want = append(want, gomega.ContainSubstring(test.want))
			}
			g.Expect(d.report.violations).To(gomega.ConsistOf(want...))
		})
	}
}
