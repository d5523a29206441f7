//go:build review

package drive2

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["stream-of-leaving-engine"] = streamOfLeavingEngine
	cases["body-of-crashed-engine"] = bodyOfCrashedEngine
}

// engineCount is the number of engines. One of six crashes, which is 17 in 100.
const engineCount = 6

// startEngines starts the backend servers of a service and returns them by their signatures.
func (r *run) startEngines(service, mode string) (map[string]*engine, error) {
	engines := make(map[string]*engine)
	for i := range engineCount {
		e, err := r.startEngine(fmt.Sprintf("i-%d", i+1), service, mode)
		if err != nil {
			return nil, err
		}
		engines["sig-"+e.id] = e
	}
	return engines, nil
}

// crashAfter is the number of events after which the engine is gone, leaveAfter the number after which it reports that it
// drains.
const (
	leaveAfter = 2
	crashAfter = 14
)

// streamOfLeavingEngine: an engine whose streams have neither a length nor chunks is taken away during a stream, more than two
// seconds after the notice.
func streamOfLeavingEngine(r *run) (bool, error) {
	r.putConfig(7)
	engines, err := r.startEngines("pool", "unframed-stream")
	if err != nil {
		return false, err
	}
	rt, err := r.startRouter("r-1", 134)
	if err != nil {
		return false, err
	}
	left, crashed := false, false
	onBody := func(h http.Header, soFar string) {
		e, events := engines[h.Get("Instance-Signature")], strings.Count(soFar, "\n\n")
		if e != nil && !left && events >= leaveAfter {
			left = true
			e.register("draining")
		}
		if e != nil && r.trouble && !crashed && events >= crashAfter {
			crashed = true
			time.Sleep(eventPause / 2)
			e.signal(syscall.SIGKILL)
			r.log("%s is killed, half a pause after event %d", e.id, events)
		}
	}
	r.log("client: POST /digest/1 as a-1")
	headers := "Model: m\r\nToken-Usage: 400,140\r\nPrefix-Hash: 5c1e07a2:300,91bd3f06:100\r\n"
	a := send(rt.front, "POST", "/digest/1", "a-1", 12*time.Second, headers, "Summarise the month", onBody)
	events := strings.Count(a.body, "\n\n")
	r.log("client: a-1 got status %d, %s, %d of %d events, complete: %v, error: %v", a.status, a.header.Get("Instance-Signature"),
		events, streamEvents, a.complete, a.err)
	if !left || crashed != r.trouble || a.status != http.StatusOK {
		return false, fmt.Errorf("the stream did not get as far as the disruption")
	}
	if !r.trouble {
		return !a.complete || events != streamEvents, nil
	}
	return a.complete && events < streamEvents, nil
}

// bodyOfCrashedEngine: a plain service's engine crashes half way through a response with neither a length nor chunks.
func bodyOfCrashedEngine(r *run) (bool, error) {
	r.putConfig(7)
	engines, err := r.startEngines("app", "unframed-body")
	if err != nil {
		return false, err
	}
	rt, err := r.startRouter("r-1", 134)
	if err != nil {
		return false, err
	}
	const attempt = "a-1"
	running := make(chan string, 1)
	r.awaitRun = func(id string) { running <- id }
	if r.trouble {
		go func() {
			id := <-running
			time.Sleep(bodyPause / 2)
			engines["sig-"+id].signal(syscall.SIGKILL)
			r.log("%s is killed, half way through its response", id)
		}()
	}
	r.log("client: POST /credit/1 as %s", attempt)
	a := send(rt.front, "POST", "/credit/1", attempt, 2500*time.Millisecond, "", "credit 12 cups", nil)
	signature := a.header.Get("Instance-Signature")
	whole := a.body == wholeBody(strings.TrimPrefix(signature, "sig-"), attempt)
	r.log("client: %s got status %d, %q, %d of %d bytes, complete: %v, error: %v", attempt, a.status, signature, len(a.body),
		bodyBytes, a.complete, a.err)
	if !r.trouble {
		return a.status != http.StatusOK || !whole, nil
	}
	return a.status == http.StatusOK && a.complete && !whole, nil
}
