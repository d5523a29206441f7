//go:build review

package drive2

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow-readers-at-a-stop"] = slowReadersAtStop }

const (
	// slowReaders is the number of clients, readPause the time for which each reads nothing of its stream.
	slowReaders = 4
	readPause   = 4 * time.Second
	// window is the receive buffer of such a client, in bytes.
	window = 4 << 10
	// stopAfter is the time from the requests to the router's SIGTERM, grace the time that it then has.
	stopAfter = 500 * time.Millisecond
	grace     = 8 * time.Second
)

// slowReadersAtStop: a router gets SIGTERM while clients that read slowly get their streams.
func slowReadersAtStop(r *run) (bool, error) {
	r.putConfig(7)
	for _, e := range []struct{ id, service, mode string }{{"i-1", "pool", "stream"}, {"i-2", "app", "plain"}} {
		if _, err := r.startEngine(e.id, e.service, e.mode); err != nil {
			return false, err
		}
	}
	rt, err := r.startRouter("r-1", 184)
	if err != nil {
		return false, err
	}
	lost := 0
	var mu sync.Mutex
	var readers sync.WaitGroup
	for i := range slowReaders {
		readers.Go(func() {
			if complete := r.readSlowly(rt.front, i); !complete {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	time.Sleep(stopAfter)
	rt.signal(syscall.SIGTERM)
	stopped := time.Now()
	r.log("r-1 gets SIGTERM")
	readers.Wait()
	read := time.Now()
	select {
	case <-rt.exited:
		r.log("r-1 has ended, %.1f s after its SIGTERM", time.Since(stopped).Seconds())
	case <-time.After(time.Until(stopped.Add(grace))):
		rt.signal(syscall.SIGKILL)
	}
	r.log("%d of %d connections ended without a complete answer; the clients had read all %.1f s after the SIGTERM", lost, slowReaders, read.Sub(stopped).Seconds())
	if read.Sub(stopped) > grace*5/6 {
		return false, fmt.Errorf("the clients read for too long")
	}
	return lost > 0, nil
}

// readSlowly sends a request for a stream on a kept connection, reads its header, reads nothing for readPause, and then reads
// all. It reports whether the answer is complete.
func (r *run) readSlowly(address string, i int) bool {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window) })
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp4", address)
	if err != nil {
		r.log("client %d: %v", i, err)
		return true // nothing was sent
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReaderSize(conn, 512)
	lookup := fmt.Sprintf("GET /lookup/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: l-%d\r\nDeadline-Ms: 2500\r\n\r\n", i, host, i)
	stream := fmt.Sprintf("POST /digest/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: s-%d\r\nDeadline-Ms: 10000\r\nAuthorization: Bearer %s\r\n"+
		"Model: m\r\nToken-Usage: 400,140\r\nPrefix-Hash: 5c1e07a2:300,91bd3f06:100\r\nContent-Length: 2\r\n\r\nhi", i, host, i, apiKey)
	for _, request := range []struct {
		attempt, text string
		pause         time.Duration
	}{{fmt.Sprintf("l-%d", i), lookup, 0}, {fmt.Sprintf("s-%d", i), stream, readPause}} {
		r.log("client %d: sends %s", i, request.attempt)
		if _, err := io.WriteString(conn, request.text); err != nil {
			r.log("client %d: %v", i, err)
			return true
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			r.log("client %d: %s got no answer: %v", i, request.attempt, err)
			return false
		}
		if r.trouble {
			time.Sleep(request.pause)
		}
		data, err := io.ReadAll(resp.Body)
		r.log("client %d: %s got status %d, %d bytes, %d of %d events, error: %v", i, request.attempt, resp.StatusCode, len(data),
			strings.Count(string(data), "\n\n"), denseEvents, err)
		if err != nil {
			return false
		}
	}
	return true
}
