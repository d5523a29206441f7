package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempts numbers the requests of all clients.
var attempts atomic.Int64

// sent is a request that a client sent and its answer.
type sent struct {
	id      string
	path    string
	key     string
	router  *router
	began   time.Time
	ended   time.Time
	status  int
	broken  bool
	touched bool
}

// client sends requests to routers one after another until the context ends. It keeps its connections.
func (w *world) client(ctx context.Context, n int, wg *sync.WaitGroup, log *sentLog) {
	defer wg.Done()
	transport := &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}
	defer transport.CloseIdleConnections()
	paths := []string{resumableRoute, streamRoute, unsafeRoute, safeRoute}
	for i := 0; ctx.Err() == nil; i++ {
		r := w.routers[(n+i/7)%len(w.routers)]
		s := w.send(ctx, transport, r, paths[(n+i)%len(paths)], w.someKey(i))
		log.add(s)
		w.report.count(s.status)
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

// someKey returns an API key; each tenth request uses one that may be removed.
func (w *world) someKey(i int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.keys) - 1
	if i%10 == 0 && n > 0 {
		n -= 1 + i/10%n
	}
	return fmt.Sprintf("key-%d", n)
}

// send makes one request and checks its answer.
func (w *world) send(ctx context.Context, transport http.RoundTripper, r *router, path, key string) sent {
	s := sent{id: fmt.Sprintf("a%d", attempts.Add(1)), path: path, key: key, router: r, began: time.Now()}
	s.touched = r.inTouch(s.began)
	ctx, cancel := context.WithTimeout(ctx, routeTimeout+2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.front+path+"x", strings.NewReader("body of "+s.id))
	if err != nil {
		w.report.broken("request: %v", err)
		return s
	}
	req.Host = clientHost
	req.GetBody = nil // the transport must not send a request again
	req.Header.Set("Attempt-Id", s.id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(routeTimeout.Milliseconds()))
	stream := path == resumableRoute || path == streamRoute
	if stream {
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Usage", "400,40")
		req.Header.Set("Prefix-Hash", fmt.Sprintf("%x:300,%x:100", attempts.Load()%7, attempts.Load()+1000))
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		s.ended, s.broken = time.Now(), true
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	s.ended, s.status, s.broken = time.Now(), resp.StatusCode, err != nil
	if err == nil && s.status == http.StatusOK {
		w.checkAnswer(s, resp.Header, string(body), stream)
	}
	return s
}

// checkAnswer checks that a complete success is the engine's whole answer to this request.
func (w *world) checkAnswer(s sent, h http.Header, body string, stream bool) {
	if h.Get("Attempt-Id") != s.id || h.Get("Instance-Signature") == "" {
		w.report.broken("%s: answer of another request or without a signature", s.id)
	}
	if !stream {
		if !strings.HasPrefix(body, "answer of i-") {
			w.report.broken("%s: answer %q", s.id, body)
		}
		return
	}
	var want strings.Builder
	for i := 1; i <= w.engines[0].Events; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: t%d\n\n", i, i)
	}
	if body != want.String() {
		w.report.broken("%s: stream with a gap, a repeat or a piece: %q", s.id, body)
	}
}

// sentLog collects the requests of all clients.
type sentLog struct {
	mu   sync.Mutex
	list []sent
}

func (l *sentLog) add(s sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, s)
}
