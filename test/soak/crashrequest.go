package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

const (
	// crashRequestFault is the name of the fault in which one request crashes each engine that begins to run it.
	crashRequestFault = "crash-request"
	// toleratedRequestEnds is the number of engines that such a request may crash before it must not go on to reach more
	// than maxLatePoison engines.
	toleratedRequestEnds = 3
)

// crashOnRequest sends a request again and again that crashes each engine that begins to run it, and sound requests of the
// same route beside it. One series runs at a time.
func crashOnRequest(ctx context.Context, d *deployment, pick int, _ time.Duration) {
	d.poisoning.Lock()
	defer d.poisoning.Unlock()
	path := []string{safeRoute, unsafeRoute, resumableRoute, streamRoute}[pick%4]
	target := fmt.Sprintf("crash%03x", lastPoison.Add(1))
	d.keepPorts.Store(pick/4%2 == 1)
	defer d.keepPorts.Store(false)
	d.mu.Lock()
	d.poisonRequests = append(d.poisonRequests, target)
	d.setPoison()
	d.mu.Unlock()
	run := &poisonRun{part: target, tolerated: toleratedRequestEnds, sent: make(map[string]bool)}
	transport := &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}
	defer transport.CloseIdleConnections()
	key := d.newestKey()
	var wg sync.WaitGroup
	for n, end := 0, time.Now().Add(poisonTime); time.Now().Before(end) && ctx.Err() == nil; n++ {
		bad := d.router(pick + n)
		if pick/8%2 == 1 {
			bad = d.router(pick)
		}
		wg.Add(2)
		go func() {
			defer wg.Done()
			d.sendTo(ctx, transport, run, bad, key, path, target)
		}()
		go func() {
			defer wg.Done()
			d.sendTo(ctx, transport, run, d.router(pick+n), key, path, "sound")
		}()
		periodic.Sleep(ctx, poisonPeriod)
	}
	wg.Wait()
	run.end = time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.poisonRuns = append(d.poisonRuns, run)
}

// sendTo sends the request that crashes engines, or a sound one of the same route. The former is the same each time.
func (d *deployment) sendTo(
	ctx context.Context, transport http.RoundTripper, run *poisonRun, r *router, key, path, target string,
) {
	bad := target == run.part
	s := sentRequest{id: fmt.Sprintf("a%d", lastAttempt.Add(1)), path: path, key: key, router: r, start: time.Now()}
	d.attempts.Store(s.id, attempt{router: r, start: s.start})
	undisturbed := r.undisturbed(s.start)
	if bad {
		run.mu.Lock()
		run.sent[s.id] = undisturbed
		run.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	stream := path == resumableRoute || path == streamRoute
	req, err := newRequest(ctx, s, stream)
	if err != nil {
		d.report.addViolation("request: %v", err)
		return
	}
	req.URL.Path = path + target
	if bad {
		const body = "the same body"
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	if stream {
		own := s.id[1:]
		if bad {
			own = "bad"
		}
		req.Header.Set("Prefix-Hash", "f00:200,e01:60,"+own+":50")
	}
	served := readWhole(transport, req)
	if bad {
		return
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.sound = append(run.sound, soundRequest{at: s.start, served: served, undisturbed: undisturbed})
}
