//go:build review

package drive

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

func init() {
	cases["upload"] = runUpload
	memoryMB["upload"] = memoryLimitMB
}

const (
	// memoryLimitMB is the memory of a router's machine, maxBody the limit on bodies in the configuration.
	memoryLimitMB = 134
	maxBody       = 4 << 20
	// uploadTime is the time in which a client sends a body.
	uploadTime = 2500 * time.Millisecond
	// usualUploads is how many clients of the tenant with uploads use a router, hotFactor how many times as many do while it
	// sends many times its usual.
	usualUploads = 6
	hotFactor    = 7.5
	// maxLost is the number of requests without an answer that the rule allows.
	maxLost = 3
)

// runUpload lets one tenant, whose clients send bodies in chunks within the configured limit, send many times its usual. The
// platform kills a process that exceeds its memory. The case checks that requests on kept connections that were passed on to
// engines get answers.
func runUpload(f *fleet) bool {
	f.startRouters()
	for _, e := range f.engines {
		e.work.Store(int64(300 * time.Millisecond))
	}
	var kills atomic.Int64
	for _, r := range f.routers {
		go f.watchMemory(r, &kills)
		f.startClients(f.ctx, r, 6, 20*time.Millisecond, routePrefix, "key-1")
		for range usualUploads {
			go f.upload(f.ctx, r)
		}
	}
	time.Sleep(8 * time.Second)
	if f.trouble {
		f.note("one tenant sends %v times its usual", hotFactor)
		for _, r := range f.routers {
			for range int((hotFactor - 1) * usualUploads) {
				go f.upload(f.ctx, r)
			}
		}
	}
	time.Sleep(6500 * time.Millisecond)
	answers := f.answersOf()
	f.stop()
	time.Sleep(200 * time.Millisecond)
	return f.lostHeld(answers, int(kills.Load()))
}

// lostHeld checks that at most maxLost requests that were passed on to an engine ended without an answer.
func (f *fleet) lostHeld(answers map[string]answer, kills int) bool {
	lost, served, refused, other := 0, 0, 0, 0
	for _, e := range f.engines {
		for _, x := range e.arrivalsOf() {
			if a, known := answers[x.attempt]; known && x.ran && a.kept && a.err != nil {
				lost++
				f.log("LOST: %s to %s, passed on to %s: %v", a.attempt, a.router, x.engine, a.err)
			}
		}
	}
	for _, a := range answers {
		switch a.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
		default:
			other++
		}
	}
	f.note("%d processes were killed for their memory; %d requests on kept connections that were passed on to a sound "+
		"engine ended without an answer, allowed %d; %d served, %d refused with 503, %d others", kills, lost, maxLost, served, refused, other)
	if served == 0 {
		panic(cannotRun{errNothingServed})
	}
	return lost <= maxLost
}

// watchMemory kills a router that exceeds its memory, and starts it again, as the platform does.
func (f *fleet) watchMemory(r *router, kills *atomic.Int64) {
	peak := 0
	defer func() { f.note("%s had %d MiB at most", r.name, peak) }()
	for ; f.ctx.Err() == nil; sleep(f.ctx, 10*time.Millisecond) {
		used := residentMB(r.cmd.Process.Pid)
		peak = max(peak, used)
		if used <= memoryLimitMB {
			continue
		}
		f.note("%s has %d MiB of memory, its limit is %d: the platform kills it", r.name, used, memoryLimitMB)
		kills.Add(1)
		f.kill(r)
		sleep(f.ctx, 500*time.Millisecond)
		if f.ctx.Err() == nil {
			f.start(r)
		}
	}
}

// residentMB returns the resident memory of a process in MiB, or 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kib, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return kib >> 10
}

// slowBody delivers maxBody bytes within uploadTime.
type slowBody struct {
	ctx  context.Context
	sent int
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	const piece = 32 << 10
	n := min(piece, len(p), maxBody-b.sent)
	if n == 0 {
		return 0, io.EOF
	}
	sleep(b.ctx, uploadTime*time.Duration(n)/maxBody)
	b.sent += n
	return n, b.ctx.Err()
}

// upload sends requests with long bodies in chunks until the context ends.
func (f *fleet) upload(ctx context.Context, r *router) {
	sleep(ctx, rand.N(uploadTime)) // the clients don't start at the same moment
	for ctx.Err() == nil {
		id := fmt.Sprintf("a%d", f.attempts.Add(1))
		limited, cancel := context.WithTimeout(ctx, 5*time.Second)
		req, err := http.NewRequestWithContext(limited, http.MethodPost, "http://"+r.front+routePrefix+"u", &slowBody{ctx: limited})
		if err != nil {
			panic(err)
		}
		if os.Getenv("BODY") == "length" { // a control: the same bodies with a length
			req.ContentLength = maxBody
		}
		req.Host = clientHost
		req.Header.Set("Attempt-Id", id)
		req.Header.Set("Deadline-Ms", "4000")
		req.Header.Set("Authorization", "Bearer key-2")
		a := answer{attempt: id, key: "key-2", router: r.name, sent: time.Now()}
		f.log("client: %s uploads to %s", id, r.name)
		resp, err := r.transport.RoundTrip(req)
		if err == nil {
			a.status = resp.StatusCode
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		cancel()
		if errors.Is(err, context.Canceled) && ctx.Err() != nil {
			return
		}
		a.err, a.done = err, time.Now()
		f.log("client: %s got status %d, error %v", id, a.status, err)
		f.mu.Lock()
		f.answers = append(f.answers, a)
		f.mu.Unlock()
		sleep(ctx, 300*time.Millisecond)
	}
}
