//go:build review

package drive

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = runPoison }

const (
	// poisonPart is the part of prompts that ends each engine which begins to write an answer on it.
	poisonPart = "bad1"
	poisonPool = 9
	// downTime is how long a crashed engine is down.
	downTime = 2 * time.Second
	// maxPoisonRequests is the number of requests with the part that may reach engines later than contactTime after the
	// crash with the number allowedCrashes.
	maxPoisonRequests = 3
	allowedCrashes    = 5
)

// supervisedEngine is an engine that falls silent when it crashes: its connections get nothing any more, and new ones no
// answer, until it is back and closes the old ones. With PORT=open its connections are closed at the crash and only new ones get
// no answer, as behind a supervisor that holds the port. With PORT=closed, a control, new ones are refused.
type supervisedEngine struct {
	f                 *fleet
	id, zone, address string

	mu       sync.Mutex
	listener net.Listener
	born     int64
	// conns are the connections to the engine, held those that wait for its return. down is set while it is down.
	conns map[net.Conn]struct{}
	held  []net.Conn
	down  bool
	// back is closed when the engine returns.
	back chan struct{}
	// queue hands connections to the server.
	queue   chan net.Conn
	crashes []time.Time
	poison  []arrival
	lost    int
}

// queueListener is a net.Listener of connections that are handed to it.
type queueListener struct {
	net.Listener
	conns chan net.Conn
}

// Accept implements net.Listener.
func (l *queueListener) Accept() (net.Conn, error) { return <-l.conns, nil }

func (f *fleet) startSupervised(id, zone string) *supervisedEngine {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(cannotRun{err})
	}
	e := &supervisedEngine{f: f, id: id, zone: zone, address: listener.Addr().String(), listener: listener,
		conns: make(map[net.Conn]struct{}), queue: make(chan net.Conn)}
	server := &http.Server{Handler: e, ConnState: func(c net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			e.mu.Lock()
			delete(e.conns, c)
			e.mu.Unlock()
		}
	}}
	go func() { _ = server.Serve(&queueListener{Listener: listener, conns: e.queue}) }()
	go e.accept(listener)
	e.returned()
	return e
}

func (e *supervisedEngine) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.down {
			e.held = append(e.held, c)
			e.mu.Unlock()
			continue
		}
		e.conns[c] = struct{}{}
		e.mu.Unlock()
		e.queue <- c
	}
}

// returned starts the engine: it serves the waiting connections and writes its entry with a new start time.
func (e *supervisedEngine) returned() {
	e.mu.Lock()
	held := e.held
	for c := range e.conns {
		_ = c.Close()
	}
	clear(e.conns)
	if e.back != nil {
		close(e.back)
	}
	e.back = nil
	e.down, e.held, e.born = false, nil, time.Now().UnixMilli()
	for _, c := range held {
		e.conns[c] = struct{}{}
	}
	if os.Getenv("PORT") == "closed" && len(e.crashes) > 0 {
		if listener, err := net.Listen("tcp4", e.address); err == nil {
			e.listener = listener
			go e.accept(listener)
		}
	}
	born := e.born
	e.mu.Unlock()
	for _, c := range held {
		e.queue <- c
	}
	e.f.store.Put("servers/"+e.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"1","slots":%d,"state":"ready","coldLeftMs":0,"sequence":1,"born":%d}`,
		poolService, e.address, e.zone, slots, born))
}

// crash ends the engine: all its connections are closed, and it is back after downTime.
func (e *supervisedEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down, e.back = true, make(chan struct{})
	e.crashes = append(e.crashes, time.Now())
	e.lost += len(e.conns)
	if os.Getenv("PORT") == "closed" {
		_ = e.listener.Close()
	}
	if os.Getenv("PORT") != "" {
		for c := range e.conns {
			_ = c.Close()
		}
	}
	e.f.log("engine %s crashes, %d times now", e.id, len(e.crashes))
	time.AfterFunc(downTime, e.returned)
}

// ServeHTTP implements http.Handler.
func (e *supervisedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Header.Get("Expect-Instance") != e.id {
		w.Header().Set("Attempt-Id", attempt)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	bad := strings.Contains(r.Header.Get("Prefix-Hash"), poisonPart+":")
	if bad {
		e.mu.Lock()
		e.poison = append(e.poison, arrival{attempt: attempt, engine: e.id, at: time.Now(), ran: true})
		e.mu.Unlock()
	}
	e.f.log("engine %s: %s arrives, with the part: %v", e.id, attempt, bad)
	time.Sleep(40 * time.Millisecond)
	if bad {
		e.crash()
	}
	e.endIfDown()
	h := w.Header()
	h.Set("Attempt-Id", attempt)
	h.Set("Instance-Signature", "sig-"+e.id)
	h.Set("Content-Type", "text/event-stream")
	for n := 1; n <= 12 && r.Context().Err() == nil; n++ {
		e.endIfDown()
		fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(25 * time.Millisecond)
	}
}

// endIfDown ends a request without a word if the engine is down.
func (e *supervisedEngine) endIfDown() {
	e.mu.Lock()
	down, back := e.down, e.back
	e.mu.Unlock()
	if down {
		<-back
		panic(http.ErrAbortHandler)
	}
}

// runPoison sends requests with a part that ends each engine which begins to answer them, at any router, beside sound ones. It
// checks that few of them reach engines later than contactTime after the fifth crash.
func runPoison(f *fleet) bool {
	var engines []*supervisedEngine
	for i := range poisonPool {
		engines = append(engines, f.startSupervised(fmt.Sprintf("p-%d", i+1), zones[i%len(zones)]))
	}
	f.startRouters()
	for n := range 12 {
		go f.prompts(f.ctx, f.routers[n%len(f.routers)], 100*time.Millisecond, "")
	}
	time.Sleep(3 * time.Second)
	if f.trouble {
		f.note("requests with the part %s begin to come", poisonPart)
		for _, r := range f.routers {
			go f.prompts(f.ctx, r, 300*time.Millisecond, poisonPart+":200,")
		}
	}
	time.Sleep(20 * time.Second)
	f.stop()
	time.Sleep(200 * time.Millisecond)
	return f.poisonHeld(engines)
}

func (f *fleet) poisonHeld(engines []*supervisedEngine) bool {
	var crashes []time.Time
	var reached []arrival
	for _, e := range engines {
		e.mu.Lock()
		crashes = append(crashes, e.crashes...)
		reached = append(reached, e.poison...)
		e.mu.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	answers := f.answersOf()
	late, served, failed := 0, 0, 0
	for _, x := range reached {
		if len(crashes) >= allowedCrashes && answers[x.attempt].sent.After(crashes[allowedCrashes-1].Add(contactTime)) {
			late++
		}
	}
	for _, a := range answers {
		switch {
		case a.key != "sound":
		case a.status == http.StatusOK && a.err == nil:
			served++
		default:
			failed++
		}
	}
	f.note("%d requests with the part reached engines, %d of them sent later than %v after crash %d, allowed %d; %d crashes; "+
		"%d sound requests served, %d not", len(reached), late, contactTime, allowedCrashes, maxPoisonRequests, len(crashes), served, failed)
	if served == 0 {
		panic(cannotRun{errNothingServed})
	}
	return late <= maxPoisonRequests
}

// prompts sends requests for streams, one after another. extra is a part of their prompts.
func (f *fleet) prompts(ctx context.Context, r *router, pause time.Duration, extra string) {
	kind := "sound"
	if extra != "" {
		kind = "with the part"
	}
	for ; ctx.Err() == nil; sleep(ctx, pause) {
		number := f.attempts.Add(1)
		a := answer{attempt: fmt.Sprintf("a%d", number), key: kind, router: r.name, sent: time.Now()}
		limited, cancel := context.WithTimeout(ctx, 5*time.Second)
		req, err := http.NewRequestWithContext(limited, http.MethodPost, "http://"+r.front+streamRoute+"x", strings.NewReader(a.attempt))
		if err != nil {
			panic(err)
		}
		req.Host, req.GetBody = clientHost, nil
		for name, value := range map[string]string{
			"Attempt-Id": a.attempt, "Deadline-Ms": "4000", "Authorization": "Bearer key-1", "Model": "m", "Token-Usage": "600,80",
			"Prefix-Hash": fmt.Sprintf("5c1e07a2:300,%s%x:100", extra, number+1000),
		} {
			req.Header.Set(name, value)
		}
		resp, err := r.transport.RoundTrip(req)
		if err == nil {
			a.status = resp.StatusCode
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		cancel()
		a.err, a.done = err, time.Now()
		f.log("client: %s, %s, got status %d, error %v", a.attempt, kind, a.status, err)
		f.mu.Lock()
		f.answers = append(f.answers, a)
		f.mu.Unlock()
	}
}
