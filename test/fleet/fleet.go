package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/multierr"

	"gooseberrytide.example/gooseberrytide/internal/daemon"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// OperatorToken is the operators' token of a test fleet.
const OperatorToken = "operator-token-of-the-test-fleet"

// readyTimeout bounds each wait for the routers to accept a configuration, to serve, or to know each other.
const readyTimeout = 60 * time.Second

// Options holds the paths of the programs and logs, and deviations from the usual start of a fleet.
type Options struct {
	// BinDir holds gooseberrytided, gooseberrytide and standin.
	BinDir string
	// Dir holds settings and logs.
	Dir string
	// Isolated gives each router a VM list that names only itself, so that each router queues alone.
	Isolated bool
	// SkipPublish leaves publishing the configuration to the caller. Start then does not wait until routers serve.
	SkipPublish bool
	// Settings changes the settings of a router before it starts.
	Settings func(s *daemon.Settings)
	// StoreArgs and VMListArgs are additional arguments of the stand-ins of the store and the VM list.
	StoreArgs  []string
	VMListArgs []string
}

// Backend is a stand-in process of a backend server and its object in the configuration.
type Backend struct {
	*Process
	Address string
	Object  *object.BackendServer
}

// Router is a router process.
type Router struct {
	*Process
	ID     string
	Domain string
	// PeerAddress is the address for other routers, CallerAddress that for callers and operators.
	PeerAddress   string
	CallerAddress string
}

// Fleet is a deployment whose store, VM lists, backend servers and routers run as processes.
type Fleet struct {
	Shape      Shape
	Options    Options
	Store      *Process
	StoreURL   string
	VMLists    []*Process
	VMListURLs []string
	Engines    []*Backend
	Services   []*Backend
	Routers    []*Router
	Set        *object.Set
}

// listenLine is the first line of output of a stand-in.
type listenLine struct {
	Listen string `json:"listen"`
}

// routerLine is the first line of output of a router.
type routerLine struct {
	Peer   string `json:"peer"`
	Caller string `json:"caller"`
}

// Start starts the stand-ins and the routers, publishes the configuration, and waits until all routers serve. It ends
// the started processes when it fails.
func Start(ctx context.Context, shape Shape, opts Options) (*Fleet, error) {
	f := &Fleet{Shape: shape, Options: opts, Set: shape.objects()}
	steps := []func(context.Context) error{
		f.startPlatform,
		f.startEngines,
		f.startServices,
		f.startRouters,
	}
	if !opts.SkipPublish {
		steps = append(steps, f.publish, f.AwaitServing)
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	store, address, err := f.startStandin(ctx, "store", "kvstore", f.Options.StoreArgs)
	if err != nil {
		return err
	}
	f.Store, f.StoreURL = store, "http://"+address
	lists := 1
	if f.Options.Isolated {
		lists = f.Shape.Routers
	}
	for n := range lists {
		p, address, err := f.startStandin(ctx, fmt.Sprintf("vmlist%d", n), "vmlist", f.Options.VMListArgs)
		if err != nil {
			return err
		}
		f.VMLists = append(f.VMLists, p)
		f.VMListURLs = append(f.VMListURLs, "http://"+address)
	}
	return nil
}

func (f *Fleet) startStandin(ctx context.Context, name, kind string, extra []string) (*Process, string, error) {
	var line listenLine
	args := append([]string{kind, "--listen", "127.0.0.1:0"}, extra...)
	p, err := startProcess(ctx, f.Options.Dir, name, filepath.Join(f.Options.BinDir, "standin"), args, &line)
	return p, line.Listen, err
}

func (f *Fleet) startEngines(ctx context.Context) error {
	n := 0
	for _, model := range f.Shape.Models {
		for k := range model.Engines {
			server := &object.BackendServer{
				Name:          fmt.Sprintf("%s-engine%d", model.Name, k+1),
				Kind:          object.BackendModelEngine,
				FailureDomain: f.Shape.domain(n),
				Model:         model.Name,
				Slots:         model.Slots,
			}
			args := append([]string{"--slots", strconv.Itoa(model.Slots)}, model.Args...)
			backend, err := f.startBackend(ctx, server, "engine", args)
			if err != nil {
				return err
			}
			f.Engines = append(f.Engines, backend)
			n++
		}
	}
	return nil
}

func (f *Fleet) startServices(ctx context.Context) error {
	n := 0
	for _, service := range f.Shape.Services {
		for k := range service.Instances {
			server := &object.BackendServer{
				Name:          fmt.Sprintf("%s-instance%d", service.Name, k+1),
				Kind:          object.BackendService,
				FailureDomain: f.Shape.domain(n),
				Service:       service.Name,
				Slots:         service.Slots,
				Deduplicates:  service.Deduplicates,
			}
			backend, err := f.startBackend(ctx, server, "service", service.Args)
			if err != nil {
				return err
			}
			f.Services = append(f.Services, backend)
			n++
		}
	}
	return nil
}

func (f *Fleet) startBackend(
	ctx context.Context, server *object.BackendServer, kind string, args []string,
) (*Backend, error) {
	p, address, err := f.startStandin(ctx, server.Name, kind, args)
	if err != nil {
		return nil, err
	}
	server.Address = address
	f.Set.BackendServers[server.Name] = server
	return &Backend{Process: p, Address: address, Object: server}, nil
}

func (f *Fleet) startRouters(ctx context.Context) error {
	for n := range f.Shape.Routers {
		r, err := f.StartRouter(ctx, n)
		if err != nil {
			return err
		}
		f.Routers = append(f.Routers, r)
	}
	return f.PublishVMs(ctx)
}

// StartRouter starts the n-th router, counted from 0. A restarted router listens on new ports, which PublishVMs writes
// to the VM list.
func (f *Fleet) StartRouter(ctx context.Context, n int) (*Router, error) {
	list := f.VMListURLs[0]
	if f.Options.Isolated {
		list = f.VMListURLs[n]
	}
	s := &daemon.Settings{
		ID:                routerName(n),
		FailureDomain:     f.Shape.domain(n),
		PeerListen:        "127.0.0.1:0",
		CallerListen:      "127.0.0.1:0",
		SharedKey:         "shared-key-of-the-test-fleet",
		StoreURL:          f.StoreURL,
		VMListURL:         list,
		OperatorTokenHash: hash(OperatorToken),
	}
	if f.Options.Settings != nil {
		f.Options.Settings(s)
	}
	path := filepath.Join(f.Options.Dir, s.ID+".json")
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	var line routerLine
	program := filepath.Join(f.Options.BinDir, "gooseberrytided")
	p, err := startProcess(ctx, f.Options.Dir, s.ID, program, []string{"--settings", path}, &line)
	if err != nil {
		return nil, err
	}
	return &Router{Process: p, ID: s.ID, Domain: s.FailureDomain, PeerAddress: line.Peer, CallerAddress: line.Caller}, nil
}

// Stop kills all processes and waits until they have ended.
func (f *Fleet) Stop() {
	for _, p := range f.processes() {
		// SIGKILL also ends a suspended process.
		p.Kill()
	}
}

func (f *Fleet) processes() []*Process {
	var all []*Process
	for _, r := range f.Routers {
		all = append(all, r.Process)
	}
	for _, b := range append(f.Engines, f.Services...) {
		all = append(all, b.Process)
	}
	all = append(all, f.VMLists...)
	if f.Store != nil {
		all = append(all, f.Store)
	}
	return all
}

// TerminateRouters shuts all routers down gracefully and at the same time. It combines the errors of Process.Terminate.
func (f *Fleet) TerminateRouters(timeout time.Duration) error {
	results := make(chan error, len(f.Routers))
	for _, r := range f.Routers {
		go func() { results <- r.Terminate(timeout) }()
	}
	var err error
	for range f.Routers {
		err = multierr.Append(err, <-results)
	}
	return err
}

// Pause suspends the process.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues the process after Pause.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }
