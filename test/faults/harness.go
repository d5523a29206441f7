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
	// addressLifetime is the lifetime of entry addresses in seconds. A drain takes at least this long.
	addressLifetime = 2
)

var teams = []fleet.TeamShape{{Name: "alarms", Weight: 1}, {Name: "plans", Weight: 2}, {Name: "audits", Weight: 1}}

// fleetShape returns the deployment of every scenario with the given number of routers.
func fleetShape(routers int) fleet.Shape {
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

// outage is a time in which a router is killed or paused, so that its callers may lose connections and answers.
type outage struct {
	from time.Time
	// until is zero while the outage lasts.
	until time.Time
}

// harness is a running fleet under load, with the faults injected into it and the violations found so far.
type harness struct {
	opts  Options
	fleet *fleet.Fleet
	dir   string
	// traffic is the load; nil until it starts.
	traffic *traffic

	mu      sync.Mutex
	routers []*fleet.Router
	// isEntry says whether callers use a router, by its address for callers.
	isEntry map[string]bool
	// outages holds the outages of killed and paused routers, by their address for callers.
	outages map[string][]outage
	// proxies holds the proxies to the store and to the VM list, in this order, by router ID.
	proxies map[string][]*proxy
	// engineExecutions holds the saved entries of the engines' execution logs.
	engineExecutions []engineExecution
	// accepted holds the accepted publishes by generation.
	accepted map[uint64]acceptance
	// publishCount is the number of publishes so far, including refused ones.
	publishCount int
	// reserved holds the IDs of the routers that a fault has reserved.
	reserved   map[string]bool
	violations []string
	reversions []string
	// staleRouters holds the addresses of routers that were reported to serve with a stale configuration. maxStaleness is
	// the longest time after the acceptance of the next configuration at which a router was seen to serve.
	staleRouters map[string]bool
	maxStaleness time.Duration

	// statusLog is the file views.log, with the changes of the routers' status and the failed requests; lastStatus is the
	// last line of each router.
	statusLog  *os.File
	lastStatus map[string]string
	// pollContext ends the polls of the routers' status.
	pollContext context.Context
	stopPolling context.CancelFunc
	pollers     sync.WaitGroup
}

// newHarness starts a fleet and waits until it serves.
func newHarness(ctx context.Context, opts Options, routers int) (*harness, error) {
	dir, err := os.MkdirTemp("", "faults-")
	if err != nil {
		return nil, errors.Wrap(err, "create directory")
	}
	h := &harness{
		opts: opts, dir: dir,
		isEntry: map[string]bool{}, outages: map[string][]outage{}, proxies: map[string][]*proxy{},
		accepted: map[uint64]acceptance{}, lastStatus: map[string]string{}, reserved: map[string]bool{},
		staleRouters: map[string]bool{},
	}
	h.statusLog, err = os.Create(filepath.Join(dir, "views.log"))
	if err != nil {
		return nil, errors.Wrap(err, "create views.log")
	}
	h.pollContext, h.stopPolling = context.WithCancel(ctx)
	var settingsErr error
	h.fleet, err = fleet.Start(ctx, fleetShape(routers), fleet.Options{
		BinDir: opts.Bin, Dir: dir, Settings: func(s *daemon.Settings) {
			if err := h.adjustSettings(s); err != nil {
				settingsErr = err
			}
		},
	})
	if err == nil {
		err = settingsErr
	}
	if err != nil {
		return nil, err
	}
	h.routers = slices.Clone(h.fleet.Routers)
	for _, r := range h.routers {
		h.isEntry[r.CallerAddress] = true
		h.pollStatus(r)
	}
	return h, nil
}

// adjustSettings enables fault injection in a router's settings and puts proxies between the router and the platform.
func (h *harness) adjustSettings(s *daemon.Settings) error {
	s.FaultInjection = true
	s.AddressLifetimeSeconds = addressLifetime
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.proxies[s.ID] == nil {
		for _, target := range []string{s.StoreURL, s.VMListURL} {
			u, err := url.Parse(target)
			if err != nil {
				return errors.Wrap(err, "parse target")
			}
			p, err := newProxy(u.Host)
			if err != nil {
				return errors.Wrap(err, "open proxy")
			}
			h.proxies[s.ID] = append(h.proxies[s.ID], p)
		}
	}
	s.StoreURL = h.proxies[s.ID][0].url()
	s.VMListURL = h.proxies[s.ID][1].url()
	return nil
}

// stop ends all processes, and removes the logs unless keepLogs is set.
func (h *harness) stop(keepLogs bool) {
	h.stopPolling()
	h.pollers.Wait()
	_ = h.statusLog.Close()
	h.fleet.Stop()
	for _, list := range h.proxies {
		for _, r := range list {
			r.close()
		}
	}
	if !keepLogs {
		_ = os.RemoveAll(h.dir)
	}
}

// currentRouters returns the newest process of each router.
func (h *harness) currentRouters() []*fleet.Router {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.routers)
}

// entries returns the addresses of the current routers that callers use.
func (h *harness) entries() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []string
	for _, r := range h.routers {
		if h.isEntry[r.CallerAddress] {
			list = append(list, r.CallerAddress)
		}
	}
	return list
}

// beginOutage begins an outage of a router.
func (h *harness) beginOutage(r *fleet.Router) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outages[r.CallerAddress] = append(h.outages[r.CallerAddress], outage{from: time.Now()})
}

// endOutage ends the last outage of a router.
func (h *harness) endOutage(r *fleet.Router) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.outages[r.CallerAddress]
	list[len(list)-1].until = time.Now()
}

// inOutage reports whether a request that was outstanding between from and until overlapped an outage of its router.
func (h *harness) inOutage(address string, from, until time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.outages[address] {
		if o.from.Before(until) && (o.until.IsZero() || o.until.After(from)) {
			return true
		}
	}
	return false
}

// addViolation records a violation that has no count of its own in Result.
func (h *harness) addViolation(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, text)
}
