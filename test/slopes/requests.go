package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/test/fleet"
	"gooseberrytide.example/gooseberrytide/test/load"
)

// Load of the measurement per request.
const (
	requestTime = 6 * time.Second
	// requestRate is per second: the rate of 10 routers at the target, for a small error of the processor time.
	requestRate   = 100
	requestTokens = 16
	// longRequests and longTokens make requests that run for more than the window, for the progress messages.
	longRequests = 64
	longTokens   = 400
	longRate     = 25
	// siblingEngines makes two shards per router.
	siblingEngines = 48
)

func requestShape(name string, routers, engines int, args ...string) fleet.Shape {
	return fleet.Shape{
		Name:    name,
		Routers: routers,
		Domains: []string{"a"},
		Models:  []fleet.ModelShape{{Name: "m", Engines: engines, Slots: 8, Args: append([]string{"--any-model"}, args...)}},
		Teams:   []fleet.TeamShape{{Name: "t", Weight: 1}},
	}
}

// requests measures bytes and processor time per request, with the dispatcher as ingress and with another router.
func (s *suite) requests(ctx context.Context) error {
	return concurrently(
		func() error { return s.shortRequests(ctx) },
		func() error { return s.longRequests(ctx) },
		func() error { return s.siblings(ctx) },
	)
}

func (s *suite) shortRequests(ctx context.Context) error {
	f, stop, err := s.start(ctx, requestShape("requests", 2, 4, "--decode-rate", "2000"), fleet.Options{})
	if err != nil {
		return err
	}
	defer stop()
	dispatcher, other, err := roles(ctx, f)
	if err != nil {
		return err
	}
	periodic.Sleep(ctx, settleTime)
	idle, err := observe(ctx, f, requestTime)
	if err != nil {
		return err
	}
	if err := s.requestsAt(ctx, f, "local", dispatcher, dispatcher, idle); err != nil {
		return err
	}
	return s.requestsAt(ctx, f, "remote", other, dispatcher, idle)
}

// roles returns the indexes of the dispatcher of the only model and of another router.
func roles(ctx context.Context, f *fleet.Fleet) (dispatcher, other int, err error) {
	status, err := f.Routers[0].Status(ctx)
	if err != nil {
		return 0, 0, err
	}
	for _, owner := range status.Owners {
		for n, r := range f.Routers {
			if r.ID == string(owner) {
				return n, (n + 1) % len(f.Routers), nil
			}
		}
	}
	return 0, 0, errors.New("no dispatcher")
}

// requestsAt sends requests to one router and records the use per request above that of the idle fleet.
func (s *suite) requestsAt(ctx context.Context, f *fleet.Fleet, label string, ingress, dispatcher int, idle window) error {
	before, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	completed := sendRate(ctx, f.Routers[ingress].CallerAddress)
	after, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	if completed == 0 {
		return errors.Errorf("%s: no request completed", label)
	}
	w := between(before, after)
	per := func(rate float64) float64 { return rate * w.seconds / float64(completed) }
	s.out.set("request_count/"+label, float64(completed))
	s.out.set("request_control_bytes/"+label, per(w.control[ingress]-idle.control[ingress]))
	s.out.set("request_ingress_cpu_ms/"+label, 1000*per(w.cpu[ingress]-idle.cpu[ingress]))
	if dispatcher != ingress {
		s.out.set("request_dispatcher_cpu_ms/"+label, 1000*per(w.cpu[dispatcher]-idle.cpu[dispatcher]))
	}
	for _, class := range []string{"enqueue", "grant", "settle", "progress"} {
		s.out.set(fmt.Sprintf("request_%s_bytes/%s", class, label), per(w.classes[ingress][class]))
	}
	link := w.classes[ingress]["link"] - idle.classes[ingress]["link"]
	s.out.set("request_link_bytes/"+label, per(link))
	return nil
}

// sendRate sends requests at a steady rate to a router and returns the number that completed.
func sendRate(ctx context.Context, address string) int {
	c := &load.Caller{Team: "t"}
	ticker := time.NewTicker(time.Second / requestRate)
	defer ticker.Stop()
	var (
		mu        sync.Mutex
		completed int
		group     sync.WaitGroup
	)
	for n := range int(requestTime.Seconds() * requestRate) {
		<-ticker.C
		group.Go(func() {
			body := load.CompletionBody("m", fmt.Sprintf("prompt %d", n), requestTokens)
			a := c.CompleteAt(ctx, address, body)
			mu.Lock()
			defer mu.Unlock()
			if a.Outcome == "completed" {
				completed++
			}
		})
	}
	group.Wait()
	return completed
}

// longRequests measures the progress messages of running requests whose ingress is not the dispatcher.
func (s *suite) longRequests(ctx context.Context) error {
	shape := requestShape("long", 2, longRequests/8, "--decode-rate", fmt.Sprint(longRate))
	f, stop, err := s.start(ctx, shape, fleet.Options{})
	if err != nil {
		return err
	}
	defer stop()
	_, other, err := roles(ctx, f)
	if err != nil {
		return err
	}
	periodic.Sleep(ctx, settleTime)
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &load.Caller{Team: "t"}
	var group sync.WaitGroup
	for n := range longRequests {
		body := load.CompletionBody("m", fmt.Sprintf("long prompt %d", n), longTokens)
		group.Go(func() { c.CompleteAt(running, f.Routers[other].CallerAddress, body) })
	}
	periodic.Sleep(ctx, 2*time.Second)
	w, err := observe(ctx, f, requestTime)
	m, metricsErr := f.Routers[other].Metrics(ctx)
	cancel()
	group.Wait()
	if err != nil || metricsErr != nil {
		return errors.Errorf("observe: %v, metrics: %v", err, metricsErr)
	}
	s.out.set("running_requests", float64(m.ActiveRequests))
	s.out.set("running_progress_bytes_s_per_request", w.classes[other]["progress"]/float64(max(m.ActiveRequests, 1)))
	return nil
}

// siblings measures the exchange between the shards of one pool under load from callers who ask for addresses.
func (s *suite) siblings(ctx context.Context) error {
	const routers = 4
	f, stop, err := s.start(ctx, requestShape("siblings", routers, 0), fleet.Options{SkipPublish: true})
	if err != nil {
		return err
	}
	defer stop()
	engines, err := newEngines(siblingEngines, 1)
	if err != nil {
		return err
	}
	defer engines.close()
	engines.addTo(f.Set)
	if err := publishFirst(ctx, f); err != nil {
		return err
	}
	periodic.Sleep(ctx, settleTime)
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	var served meter
	group := served.drive(running, f, siblingEngines*4)
	periodic.Sleep(ctx, 2*time.Second)
	from, ended := served.total(), served.completed()
	w, err := observe(ctx, f, requestTime)
	cost, finished := served.total()-from, served.completed()-ended
	cancel()
	group.Wait()
	if err != nil {
		return err
	}
	for _, class := range []string{"service-delta", "free-slots", "redirect", "enqueue", "grant", "settle", "progress"} {
		s.out.set("siblings_bytes_s_per_router/"+strings.ReplaceAll(class, "-", "_"), w.classMean(class))
	}
	s.out.set("siblings_control_bytes_s_per_router", fleet.Mean(w.control))
	s.out.set("siblings_deltas_s_per_router", w.sent["service-delta"]/routers)
	s.out.set("siblings_crossing_share", w.sent["enqueue"]*w.seconds/float64(max(finished, 1)))
	s.out.set("siblings_cost_units_s", cost/w.seconds)
	s.out.set("siblings_requests_s", float64(max(finished, 1))/w.seconds)
	return nil
}
