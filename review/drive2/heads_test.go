//go:build review

package drive2

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["heads-without-end"] = headsWithoutEnd
}

const (
	// memoryMB is the memory of a machine of the small deployment.
	memoryMB = 134
	// crowdSize is the number of clients that send heads without end, crowdTime how long they do.
	crowdSize = 600
	crowdTime = 8 * time.Second
	// crowdPause is the time after which such a client connects again.
	crowdPause = 200 * time.Millisecond
	// headBytes is how much of its head such a client sends. It is without end.
	headBytes = 19 << 10
	// ordinaryClients is the number of clients that send one unsafe request after another on a kept connection.
	ordinaryClients = 12
	// allowedLosses is the number of such requests that may be passed on and end with a closed connection.
	allowedLosses = 3
	// memoryCheckPeriod is how often the platform compares the memory of the process with its limit, restartDelay the time
	// after which it starts a process again that has ended.
	memoryCheckPeriod = 20 * time.Millisecond
	restartDelay      = 500 * time.Millisecond
)

// lines returns header lines with different names, of about the given size.
func lines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// headsWithoutEnd: clients ask the directory where to connect, with heads without end, beside ordinary clients.
func headsWithoutEnd(r *run) (bool, error) {
	r.putConfig(7)
	if _, err := r.startEngines("app", "work"); err != nil {
		return false, err
	}
	rt, err := r.startRouter("r-1", memoryMB)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var clients sync.WaitGroup
	losses := &lossCount{run: r, engineRan: make(map[string]bool)}
	r.onEngineRun = losses.ran
	for i := range ordinaryClients {
		clients.Go(func() { losses.sendOrdinary(ctx, rt.front, i) })
	}
	sleep(ctx, time.Second)
	head := "GET /gooseberrytide/resolve?name=" + host + "&region=sierra-norte&zone=" + zone + " HTTP/1.1\r\nHost: " + host + "\r\n"
	if r.trouble {
		head += lines(headBytes)
	} else {
		head += "\r\n"
	}
	r.log("%d clients send heads of %d bytes to the directory", crowdSize, len(head))
	for range crowdSize {
		clients.Go(func() {
			for ctx.Err() == nil {
				sendHead(ctx, rt.resolve, head)
				sleep(ctx, crowdPause)
			}
		})
	}
	kills, err := r.keepWithinMemory(ctx, rt)
	clients.Wait()
	r.log("%d kills; %d unsafe requests were answered, %d were passed on and ended with a closed connection", kills,
		losses.answered, losses.lost)
	return losses.lost > allowedLosses, err
}

// keepWithinMemory does what the platform does: it kills the process when it exceeds its memory, and starts it again.
func (r *run) keepWithinMemory(ctx context.Context, rt *router) (kills int, err error) {
	most := 0
	for ; ctx.Err() == nil; sleep(ctx, memoryCheckPeriod) {
		now := rt.memory("VmRSS:")
		if now > most {
			most = now
			r.log("r-1 takes %d MB", now)
		}
		if now <= memoryMB && rt.running() {
			continue
		}
		kills++
		r.log("r-1 takes %d MB of %d and is killed", now, memoryMB)
		rt.signal(syscall.SIGKILL)
		<-rt.exited
		sleep(ctx, restartDelay)
		if rt.process, err = r.start(rt.command(), rt.env); err != nil {
			return kills, err
		}
	}
	r.log("r-1: %d MB at its peak", most)
	return kills, nil
}

// lossCount counts the requests of ordinary clients by what became of them.
type lossCount struct {
	run *run

	mu             sync.Mutex
	engineRan      map[string]bool
	answered, lost int
}

// ran records that an engine runs an attempt.
func (l *lossCount) ran(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engineRan[attempt] = true
}

// sendOrdinary sends unsafe requests on kept connections.
func (l *lossCount) sendOrdinary(ctx context.Context, address string, client int) {
	var conn net.Conn
	var reader *bufio.Reader
	for i := 0; ctx.Err() == nil; i++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", address, time.Second); err != nil {
				sleep(ctx, crowdPause)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		attempt := fmt.Sprintf("o-%d-%d", client, i)
		_ = conn.SetDeadline(time.Now().Add(2500 * time.Millisecond))
		_, err := fmt.Fprintf(conn, "POST /credit/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 2500\r\nContent-Length: 7\r\n\r\n12 cups", host, attempt)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(reader, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		l.record(attempt, err)
		if err != nil || resp.Close {
			_ = conn.Close()
			conn = nil
		}
		if err == nil && resp.StatusCode != http.StatusOK {
			sleep(ctx, crowdPause)
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

func (l *lossCount) record(attempt string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.answered++
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.run.log("client: %s: %v", attempt, err)
	case l.engineRan[attempt]:
		l.lost++
		l.run.log("client: %s, at work at an engine, got no answer: %v", attempt, err)
	}
}

// sendHead opens a connection, sends a head and waits until the router closes it.
func sendHead(ctx context.Context, address, head string) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, head)
	_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
	_, _ = io.Copy(io.Discard, conn)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// memory returns a figure of the process's status in MB, or 0 if the process has ended.
func (p *process) memory(field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), field)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kib, _ := strconv.Atoi(fields[0])
	return kib >> 10
}
