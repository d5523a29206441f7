package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// lastAttempt is the number of the last request of any client. Request IDs are made from it.
var lastAttempt atomic.Int64

// sentRequest is a request that a client sent, and its outcome.
type sentRequest struct {
	id     string
	path   string
	key    string
	router *router
	start  time.Time
	end    time.Time
	status int
	// written is when the last byte of the request had been written; zero if it was not.
	written time.Time
	// err is why there was no complete answer; nil if there was one.
	err error
	// abandoned is set if the client ended the request before its deadline.
	abandoned bool
	// leaving identifies the engine incarnation whose answer said that it leaves. It is zero if the answer did not.
	leaving incarnation
	// limited is the ID of the engine whose answer named a limit, or empty. limitedAt is when the router passed it on.
	limited   string
	limitedAt time.Time
}

// incarnation is one start of an engine.
type incarnation struct {
	engine string
	number int
}

// runClient sends requests one after another until the context ends, over kept connections. It goes on to the next
// router after every 7 requests.
func (d *deployment) runClient(ctx context.Context, n int, wg *sync.WaitGroup, log *requestLog) {
	defer wg.Done()
	transport := &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}
	defer transport.CloseIdleConnections()
	paths := []string{resumableRoute, streamRoute, unsafeRoute, safeRoute, summaryRoute}
	for i := 0; ctx.Err() == nil; i++ {
		r := d.routers[(n+i/7)%len(d.routers)]
		s := d.send(ctx, transport, r, paths[(n+i)%len(paths)], d.pickKey(i))
		log.add(s)
		d.report.count(s.status)
		pause := 10 * time.Millisecond
		if s.status != http.StatusOK {
			pause = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// pickKey returns the API key for the i-th request of a client: the newest one, and for every tenth request an older
// one, which may have been removed.
func (d *deployment) pickKey(i int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.keys) - 1
	if i%10 == 0 && n > 0 {
		n -= 1 + i/10%n
	}
	return fmt.Sprintf("key-%d", n)
}

// send sends one request and checks a complete, successful answer.
func (d *deployment) send(ctx context.Context, transport http.RoundTripper, r *router, path, key string) sentRequest {
	s := sentRequest{id: fmt.Sprintf("a%d", lastAttempt.Add(1)), path: path, key: key, router: r, start: time.Now()}
	d.attempts.Store(s.id, attempt{router: r, start: s.start})
	var written atomic.Pointer[time.Time]
	limited, cancel := context.WithTimeout(recordWritten(ctx, &written), routeTimeout+2*time.Second)
	defer cancel()
	d.exchange(limited, transport, &s)
	if at := written.Load(); at != nil {
		s.written = *at
	}
	s.abandoned = s.err != nil && ctx.Err() != nil
	return s
}

// recordWritten stores in at when the last byte of the request of a context has been written.
func recordWritten(ctx context.Context, at *atomic.Pointer[time.Time]) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			now := time.Now()
			at.Store(&now)
		}
	}})
}

// exchange sends a request, reads the answer and records the outcome.
func (d *deployment) exchange(ctx context.Context, transport http.RoundTripper, s *sentRequest) {
	stream := s.path == resumableRoute || s.path == streamRoute || s.path == summaryRoute
	req, err := newRequest(ctx, *s, stream)
	if err != nil {
		d.report.addViolation("request: %v", err)
		return
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		s.end, s.err = time.Now(), err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	s.leaving = leavingOf(resp.Header)
	s.limited, s.limitedAt = limitedEngineOf(resp.Header), time.Now()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	s.end, s.status, s.err = time.Now(), resp.StatusCode, err
	if err == nil && s.status == http.StatusOK {
		d.checkAnswer(*s, resp.Header, string(body), stream)
	}
}

func newRequest(ctx context.Context, s sentRequest, stream bool) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.router.frontAddress+s.path+"x",
		strings.NewReader("body of "+s.id))
	if err != nil {
		return nil, err
	}
	req.Host = clientHost
	req.GetBody = nil // keeps the transport from sending the request again
	req.Header.Set("Attempt-Id", s.id)
	req.Header.Set("Authorization", "Bearer "+s.key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(routeTimeout.Milliseconds()))
	if stream {
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Usage", "400,40")
		req.Header.Set("Prefix-Hash", fmt.Sprintf("%x:300,%x:100", lastAttempt.Load()%7, lastAttempt.Load()+1000))
	}
	return req, nil
}

// maxAnswerBytes is how much of an answer is read. Engines in trouble send bodies without end.
const maxAnswerBytes = 1 << 20

// checkAnswer checks that a successful answer is the engine's complete answer to this request.
func (d *deployment) checkAnswer(s sentRequest, h http.Header, body string, stream bool) {
	if h.Get("Attempt-Id") != s.id || h.Get("Instance-Signature") == "" {
		d.report.addViolation("%s: answer to another request, or without a signature", s.id)
	}
	if !stream {
		if !strings.HasPrefix(body, "answer of i-") {
			d.report.addViolation("%s: unexpected answer %q", s.id, body)
		}
		return
	}
	var want strings.Builder
	for i := 1; i <= d.engines[0].Events; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: t%d\n\n", i, i)
	}
	if body != want.String() {
		d.report.addViolation("%s: stream with a gap, a repeated event or a partial event: %q", s.id, body)
	}
}

// requestLog collects the requests of all clients. It is safe for concurrent use.
type requestLog struct {
	mu   sync.Mutex
	list []sentRequest
}

func (l *requestLog) add(s sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, s)
}
