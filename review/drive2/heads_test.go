//go:build review

package drive2

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
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
)

// lines returns header lines with different names, of about the given size.
func lines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// headsWithoutEnd: clients ask the directory where to connect, with heads without end.
func headsWithoutEnd(r *run) (bool, error) {
	r.putConfig(7)
	if _, err := r.startEngines("app", "plain"); err != nil {
		return false, err
	}
	rt, err := r.startRouter("r-1", memoryMB)
	if err != nil {
		return false, err
	}
	address := rt.resolve
	if os.Getenv("PORT") == "front" {
		address = rt.front
	}
	// The head goes on until the router closes the connection.
	start := "GET /gooseberrytide/resolve?name=" + host + "&region=sierra-norte&zone=" + zone + " HTTP/1.1\r\nHost: " + host + "\r\n"
	head := start + lines(19<<10)
	if !r.trouble {
		head = start + "\r\n"
	}
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	r.log("%d clients send heads of %d bytes to the directory", crowdSize, len(head))
	var crowd sync.WaitGroup
	var opened, refused int
	var mu sync.Mutex
	for range crowdSize {
		crowd.Go(func() {
			for ctx.Err() == nil {
				err := sendHead(ctx, address, head)
				mu.Lock()
				opened++
				if err != nil {
					refused++
				}
				mu.Unlock()
				sleep(ctx, crowdPause)
			}
		})
	}
	most := 0
	for ctx.Err() == nil && rt.running() {
		if now := rt.memory("VmRSS:"); now > most {
			most = now
			r.log("r-1 takes %d MB", now)
		}
		sleep(ctx, 100*time.Millisecond)
	}
	peak := rt.memory("VmHWM:")
	crowd.Wait()
	r.log("%d connections, %d could not be opened; r-1 runs: %v, %d MB at its peak of %d", opened, refused, rt.running(), peak, memoryMB)
	a := send(rt.front, "GET", "/lookup/1", "a-1", 2500*time.Millisecond, "", "", nil)
	r.log("an ordinary client got status %d, error: %v", a.status, a.err)
	return !rt.running() || peak > memoryMB, nil
}

// sendHead opens a connection, sends a head and waits until the router closes it.
func sendHead(ctx context.Context, address, head string) error {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, head)
	_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
	_, _ = io.Copy(io.Discard, conn)
	return nil
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
