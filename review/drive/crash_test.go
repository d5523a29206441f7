//go:build review

package drive

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["crash"] = runCrash }

const (
	// streamEvents is the number of events of each stream, eventPause the pause between two.
	streamEvents = 30
	eventPause   = 60 * time.Millisecond
	streamRoute  = "/digest/"
	poolService  = "pool"
	poolSize     = 4
	// downTime is how long a crashed engine is down.
	downTime = 2 * time.Second
)

// runStreamEngine serves streams of events at the address that ENGINE names, as a process of its own. The answers have neither
// a length nor chunks and end with their connections; with FRAME=chunked, a control, they come in chunks.
func runStreamEngine(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	id, chunked := os.Getenv("ENGINE_ID"), os.Getenv("FRAME") == "chunked"
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go serveStream(conn, id, chunked)
	}
}

func serveStream(conn net.Conn, id string, chunked bool) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	attempt := r.Header.Get("Attempt-Id")
	if r.Header.Get("Expect-Instance") != id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt)
		return
	}
	framing := ""
	if chunked {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Signature: sig-%s\r\nServed-By: %s\r\n"+
		"Content-Type: text/event-stream\r\n%sConnection: close\r\n\r\n", attempt, id, id, framing)
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n <= streamEvents; n++ {
		time.Sleep(eventPause)
		event := fmt.Sprintf("id: %d\ndata: t%d\n\n", n, n)
		if chunked {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, event); err != nil {
			return
		}
	}
	if chunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// streamEngine is a process that serves streams.
type streamEngine struct {
	id, zone, address string
	born              int64
	cmd               *exec.Cmd
	down              atomic.Bool
}

// startStreamEngine starts the process, at its earlier address if it had one.
func (f *fleet) startStreamEngine(e *streamEngine) {
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "ENGINE="+address, "ENGINE_ID="+e.id)
	out, err := cmd.StdoutPipe()
	if err != nil {
		panic(cannotRun{err})
	}
	if err := cmd.Start(); err != nil {
		panic(cannotRun{err})
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		panic(cannotRun{err})
	}
	e.address, e.cmd, e.born = strings.TrimSpace(line), cmd, time.Now().UnixMilli()
	f.putStreamEngine(e)
	f.note("engine %s starts at %s", e.id, e.address)
}

func (f *fleet) putStreamEngine(e *streamEngine) {
	f.store.Put("servers/"+e.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"1","slots":%d,"state":"ready","coldLeftMs":0,"sequence":1,"born":%d}`,
		poolService, e.address, e.zone, slots, e.born))
}

// runCrash kills one of four engines, whose answers end with their connections, while streams are at work at it. It checks that
// no stream ends as complete without its last events.
func runCrash(f *fleet) bool {
	var engines []*streamEngine
	for i := range poolSize {
		e := &streamEngine{id: fmt.Sprintf("p-%d", i+1), zone: zones[i%len(zones)]}
		f.startStreamEngine(e)
		engines = append(engines, e)
	}
	defer func() {
		for _, e := range engines {
			_ = e.cmd.Process.Kill()
			_ = e.cmd.Wait()
		}
	}()
	f.startRouters()
	var complete, short, brokenOff, failed atomic.Int64
	for n := range 18 {
		go func() {
			for f.ctx.Err() == nil {
				f.stream(f.ctx, f.routers[n%len(f.routers)], &complete, &short, &brokenOff, &failed)
				sleep(f.ctx, 20*time.Millisecond)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	if f.trouble {
		victim := engines[0]
		_ = victim.cmd.Process.Kill()
		_ = victim.cmd.Wait()
		f.note("engine %s crashes", victim.id)
		time.Sleep(downTime)
		f.startStreamEngine(victim)
	}
	time.Sleep(4 * time.Second)
	f.stop()
	time.Sleep(200 * time.Millisecond)
	f.note("%d streams were complete, %d looked complete to the client and lacked their last events, %d were visibly broken off, "+
		"%d failed", complete.Load(), short.Load(), brokenOff.Load(), failed.Load())
	if complete.Load() == 0 {
		panic(cannotRun{errNothingServed})
	}
	return short.Load() == 0
}

// stream sends one request for a stream and counts its end.
func (f *fleet) stream(ctx context.Context, r *router, complete, short, brokenOff, failed *atomic.Int64) {
	number := f.attempts.Add(1)
	id := fmt.Sprintf("a%d", number)
	limited, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(limited, http.MethodPost, "http://"+r.front+streamRoute+"x", strings.NewReader("body"))
	if err != nil {
		panic(err)
	}
	req.Host, req.GetBody = clientHost, nil
	for name, value := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": "9500", "Authorization": "Bearer key-1", "Model": "m", "Token-Usage": "400,180",
		"Prefix-Hash": fmt.Sprintf("%x:300,%x:100", number%7, number+1000),
	} {
		req.Header.Set(name, value)
	}
	resp, err := r.transport.RoundTrip(req)
	if err != nil {
		f.log("client: %s: %v", id, err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	events := strings.Count(string(body), "\n\n")
	f.log("client: %s got status %d from %q, %d of %d events, error %v", id, resp.StatusCode, resp.Header.Get("Served-By"),
		events, streamEvents, err)
	switch {
	case ctx.Err() != nil:
	case resp.StatusCode != http.StatusOK:
		failed.Add(1)
	case err != nil:
		brokenOff.Add(1)
	case events < streamEvents:
		short.Add(1)
		f.log("BROKEN: %s looks complete with %d of %d events", id, events, streamEvents)
	default:
		complete.Add(1)
	}
}
