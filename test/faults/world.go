package faults

import (
	"context"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/daemon"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/test/fleet"
)

const (
	modelName   = "summary"
	serviceName = "credits"
	// addressLifetime is the lifetime of entry addresses in seconds. A drain lasts at least as long.
	addressLifetime = 2
)

var teams = []fleet.TeamShape{{Name: "alarms", Weight: 1}, {Name: "plans", Weight: 2}, {Name: "audits", Weight: 1}}

// shape is the fleet of every scenario.
func shape(routers int) fleet.Shape {
	return fleet.Shape{
		Name: "faults", Routers: routers, Domains: []string{"a", "b", "c"},
		Models: []fleet.ModelShape{{
			Name: modelName, Engines: 3, Slots: 4,
			Args: []string{"--decode-rate", "120", "--prefill-rate", "8000", "--natural-stop", "--any-model"},
		}},
		Services: []fleet.ServiceShape{{
			Name: serviceName, Instances: 2, Slots: 8, Args: []string{"--latency", "50ms", "--concurrency", "16"},
			Routes: []object.Route{{PathPrefix: "/lookup", Idempotent: true}, {PathPrefix: "/"}},
		}},
		Teams: teams,
	}
}

// span is a time in which a router may break off or hold back its callers' requests.
type span struct {
	from time.Time
	// until is zero while the span lasts.
	until time.Time
}

// world is a running fleet with what was done to it.
type world struct {
	opts  Options
	fleet *fleet.Fleet
	dir   string
	// traffic is the load, once it runs.
	traffic *traffic

	mu      sync.Mutex
	routers []*fleet.Router
	// offered are the routers that callers use.
	offered map[string]bool
	// excused holds the spans of killed and paused routers, by the address for callers.
	excused map[string][]span
	relays  map[string][]*relay
	engines []engineExecution
	// accepted holds the generations of accepted publishes.
	accepted map[uint64]acceptance
	// publishes is the number of publishes so far.
	publishes int
	// victims are the routers that a fault has reserved.
	victims    map[string]bool
	violations []string
	reverted   []string
	// stale holds the routers that were seen to serve with a stale configuration, and stalest the longest such time.
	stale   map[string]bool
	stalest time.Duration

	// views is the file of what routers see; seen is the last line of each.
	views *os.File
	seen  map[string]string
	// polling ends the polls of generations.
	polling  context.Context
	stopPoll context.CancelFunc
	polls    sync.WaitGroup
}

// newWorld starts a fleet and waits until it serves.
func newWorld(ctx context.Context, opts Options, routers int) (*world, error) {
	dir, err := os.MkdirTemp("", "faults-")
	if err != nil {
		return nil, errors.Wrap(err, "make directory")
	}
	w := &world{
		opts: opts, dir: dir,
		offered: map[string]bool{}, excused: map[string][]span{}, relays: map[string][]*relay{},
		accepted: map[uint64]acceptance{}, seen: map[string]string{}, victims: map[string]bool{}, stale: map[string]bool{},
	}
	w.views, err = os.Create(filepath.Join(dir, "views.log"))
	if err != nil {
		return nil, errors.Wrap(err, "make file of views")
	}
	w.polling, w.stopPoll = context.WithCancel(ctx)
	var failed error
	w.fleet, err = fleet.Start(ctx, shape(routers), fleet.Options{BinDir: opts.Bin, Dir: dir, Settings: func(s *daemon.Settings) {
		if err := w.settings(s); err != nil {
			failed = err
		}
	}})
	if err == nil {
		err = failed
	}
	if err != nil {
		return nil, err
	}
	w.routers = slices.Clone(w.fleet.Routers)
	for _, r := range w.routers {
		w.offered[r.Caller] = true
		w.watch(r)
	}
	return w, nil
}

// settings puts relays between a router and the platform.
func (w *world) settings(s *daemon.Settings) error {
	s.FaultInjection = true
	s.AddressLifetimeSeconds = addressLifetime
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.relays[s.ID] == nil {
		for _, target := range []string{s.StoreURL, s.VMListURL} {
			u, err := url.Parse(target)
			if err != nil {
				return errors.Wrap(err, "parse target")
			}
			r, err := newRelay(u.Host)
			if err != nil {
				return errors.Wrap(err, "open relay")
			}
			w.relays[s.ID] = append(w.relays[s.ID], r)
		}
	}
	s.StoreURL = w.relays[s.ID][0].url()
	s.VMListURL = w.relays[s.ID][1].url()
	return nil
}

// stop ends all processes. The logs are kept when a check failed.
func (w *world) stop(failed bool) {
	w.stopPoll()
	w.polls.Wait()
	_ = w.views.Close()
	w.fleet.Stop()
	for _, list := range w.relays {
		for _, r := range list {
			r.close()
		}
	}
	if !failed {
		_ = os.RemoveAll(w.dir)
	}
}

// current returns the routers that run.
func (w *world) current() []*fleet.Router {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.routers)
}

// entries returns the addresses of the routers that callers use.
func (w *world) entries() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for _, r := range w.routers {
		if w.offered[r.Caller] {
			list = append(list, r.Caller)
		}
	}
	return list
}

// excuse begins a span in which a router's callers may lose answers.
func (w *world) excuse(r *fleet.Router) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.excused[r.Caller] = append(w.excused[r.Caller], span{from: time.Now()})
}

// endExcuse ends the last span of a router.
func (w *world) endExcuse(r *fleet.Router) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.excused[r.Caller]
	list[len(list)-1].until = time.Now()
}

// isExcused reports whether a request that was under way in a time met a killed or paused router.
func (w *world) isExcused(address string, from, until time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.excused[address] {
		if s.from.Before(until) && (s.until.IsZero() || s.until.After(from)) {
			return true
		}
	}
	return false
}

// violate records a broken promise that has no count of its own.
func (w *world) violate(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, text)
}
