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

// Load of the per-request measurements.
const (
	requestDuration = 6 * time.Second
	// requestRate is in requests per second. It is the rate of 10 routers at the target size, to keep the error of the
	// CPU time small.
	requestRate   = 100
	requestTokens = 16
	// longRequestCount, longTokens and longRate (in tokens/s) produce requests that outlast the window, to measure the
	// progress messages.
	longRequestCount = 64
	longTokens       = 400
	longRate         = 25
	// siblingEngines yields two shards per router.
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

// measureRequests measures bytes and CPU time per request, with the dispatcher as ingress and with another router as
// ingress. It also measures progress messages and the exchange between sibling shards.
func (s *suite) measureRequests(ctx context.Context) error {
	return concurrently(
		func() error { return s.measureShortRequests(ctx) },
		func() error { return s.measureLongRequests(ctx) },
		func() error { return s.measureSiblingShards(ctx) },
	)
}

func (s *suite) measureShortRequests(ctx context.Context) error {
	f, stop, err := s.startFleet(ctx, requestShape("requests", 2, 4, "--decode-rate", "2000"), fleet.Options{})
	if err != nil {
		return err
	}
	defer stop()
	dispatcher, other, err := findDispatcher(ctx, f)
	if err != nil {
		return err
	}
	periodic.Sleep(ctx, settleTime)
	idle, err := measureWindow(ctx, f, requestDuration)
	if err != nil {
		return err
	}
	if err := s.measureRequestsAt(ctx, f, "local", dispatcher, dispatcher, idle); err != nil {
		return err
	}
	return s.measureRequestsAt(ctx, f, "remote", other, dispatcher, idle)
}

// findDispatcher returns the index of the router that is the dispatcher of the only model, and that of another router.
func findDispatcher(ctx context.Context, f *fleet.Fleet) (dispatcher, other int, err error) {
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
	return 0, 0, errors.New("no router owns a shard")
}

// measureRequestsAt sends requests to one router and records the resource use per request in excess of the idle use.
func (s *suite) measureRequestsAt(
	ctx context.Context, f *fleet.Fleet, label string, ingress, dispatcher int, idle window,
) error {
	before, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	completed := sendAtRate(ctx, f.Routers[ingress].CallerAddress)
	after, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	if completed == 0 {
		return errors.Errorf("%s: no request completed", label)
	}
	w := windowBetween(before, after)
	perRequest := func(rate float64) float64 { return rate * w.seconds / float64(completed) }
	s.results.set("request_count/"+label, float64(completed))
	s.results.set("request_control_bytes/"+label, perRequest(w.controlBytes[ingress]-idle.controlBytes[ingress]))
	s.results.set("request_ingress_cpu_ms/"+label, 1000*perRequest(w.cpu[ingress]-idle.cpu[ingress]))
	if dispatcher != ingress {
		s.results.set("request_dispatcher_cpu_ms/"+label, 1000*perRequest(w.cpu[dispatcher]-idle.cpu[dispatcher]))
	}
	for _, class := range []string{"enqueue", "grant", "settle", "progress"} {
		s.results.set(fmt.Sprintf("request_%s_bytes/%s", class, label), perRequest(w.bytesByClass[ingress][class]))
	}
	link := w.bytesByClass[ingress]["link"] - idle.bytesByClass[ingress]["link"]
	s.results.set("request_link_bytes/"+label, perRequest(link))
	return nil
}

// sendAtRate sends requests to a router at requestRate and returns the number that completed.
func sendAtRate(ctx context.Context, address string) int {
	c := &load.Caller{Team: "t"}
	ticker := time.NewTicker(time.Second / requestRate)
	defer ticker.Stop()
	var (
		mu        sync.Mutex
		completed int
		group     sync.WaitGroup
	)
	for n := range int(requestDuration.Seconds() * requestRate) {
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

// measureLongRequests measures the progress messages of running requests whose ingress is not the dispatcher.
func (s *suite) measureLongRequests(ctx context.Context) error {
	shape := requestShape("long", 2, longRequestCount/8, "--decode-rate", fmt.Sprint(longRate))
	f, stop, err := s.startFleet(ctx, shape, fleet.Options{})
	if err != nil {
		return err
	}
	defer stop()
	_, other, err := findDispatcher(ctx, f)
	if err != nil {
		return err
	}
	periodic.Sleep(ctx, settleTime)
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &load.Caller{Team: "t"}
	var group sync.WaitGroup
	for n := range longRequestCount {
		body := load.CompletionBody("m", fmt.Sprintf("long prompt %d", n), longTokens)
		group.Go(func() { c.CompleteAt(loadCtx, f.Routers[other].CallerAddress, body) })
	}
	periodic.Sleep(ctx, 2*time.Second)
	w, err := measureWindow(ctx, f, requestDuration)
	m, metricsErr := f.Routers[other].Metrics(ctx)
	cancel()
	group.Wait()
	if err != nil || metricsErr != nil {
		return errors.Errorf("measure the load: %v; read metrics: %v", err, metricsErr)
	}
	s.results.set("running_requests", float64(m.ActiveRequests))
	s.results.set("running_progress_bytes_s_per_request",
		w.bytesByClass[other]["progress"]/float64(max(m.ActiveRequests, 1)))
	return nil
}

// measureSiblingShards measures the exchange between the shards of one pool under load from callers that look up the
// addresses of the routers.
func (s *suite) measureSiblingShards(ctx context.Context) error {
	const routers = 4
	f, stop, err := s.startFleet(ctx, requestShape("siblings", routers, 0), fleet.Options{SkipPublish: true})
	if err != nil {
		return err
	}
	defer stop()
	engines, err := startEngines(siblingEngines, 1)
	if err != nil {
		return err
	}
	defer engines.close()
	engines.addTo(f.Set)
	if err := publishFirst(ctx, f); err != nil {
		return err
	}
	periodic.Sleep(ctx, settleTime)
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var served serviceMeter
	group := served.startCallers(loadCtx, f, siblingEngines*4)
	periodic.Sleep(ctx, 2*time.Second)
	costBefore, completedBefore := served.totalCost(), served.completed()
	w, err := measureWindow(ctx, f, requestDuration)
	cost, completed := served.totalCost()-costBefore, served.completed()-completedBefore
	cancel()
	group.Wait()
	if err != nil {
		return err
	}
	for _, class := range []string{"service-delta", "free-slots", "redirect", "enqueue", "grant", "settle", "progress"} {
		s.results.set("siblings_bytes_s_per_router/"+strings.ReplaceAll(class, "-", "_"), w.classBytesPerSecond(class))
	}
	s.results.set("siblings_control_bytes_s_per_router", fleet.Mean(w.controlBytes))
	s.results.set("siblings_deltas_s_per_router", w.messagesByClass["service-delta"]/routers)
	s.results.set("siblings_crossing_share", w.messagesByClass["enqueue"]*w.seconds/float64(max(completed, 1)))
	s.results.set("siblings_cost_units_s", cost/w.seconds)
	s.results.set("siblings_requests_s", float64(max(completed, 1))/w.seconds)
	return nil
}
