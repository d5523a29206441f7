package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/test/fleet"
	"gooseberrytide.example/gooseberrytide/test/load"
	"gooseberrytide.example/gooseberrytide/test/standin/engine"
)

// engineSlots is the batch size of each engine.
const engineSlots = 8

// enginesPerProcess keeps the connections of a process below the usual limits on open files.
const enginesPerProcess = 1500

// engineSet is a set of engine stand-ins. Each has its own port, because the configuration refuses two backend servers
// with the same address. Many share a process, because a measurement would need thousands of processes otherwise.
type engineSet struct {
	processes []*exec.Cmd
	addresses []string
	models    int
}

// startEngines starts n engines in child processes of this program. Each has its model loaded from the start, so that
// the routers issue no orders.
func startEngines(n, models int) (*engineSet, error) {
	e := &engineSet{models: models}
	for first := 0; first < n; first += enginesPerProcess {
		if err := e.startProcess(first, min(n-first, enginesPerProcess)); err != nil {
			e.close()
			return nil, err
		}
	}
	return e, nil
}

func (e *engineSet) startProcess(first, count int) error {
	cmd := exec.Command(os.Args[0], "--serve-engines", strconv.Itoa(count),
		"--first-engine", strconv.Itoa(first), "--engine-models", strconv.Itoa(e.models))
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "engines: open output of the process")
	}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "engines: start process")
	}
	e.processes = append(e.processes, cmd)
	var addresses []string
	if err := json.NewDecoder(out).Decode(&addresses); err != nil {
		return errors.Wrap(err, "engines: read addresses")
	}
	e.addresses = append(e.addresses, addresses...)
	return nil
}

func (e *engineSet) close() {
	for _, p := range e.processes {
		_ = p.Process.Kill()
		_ = p.Wait() // The error only says that the process was killed.
	}
}

// serveEngines runs engines in this process, prints their addresses as a JSON array, and blocks until the process is
// killed.
func serveEngines(first, n, models int) error {
	var addresses []string
	for k := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		model := modelName((first + k) % models)
		e := engine.New(engine.Options{
			Slots: engineSlots, DecodeRate: 50, AnyModel: true, Model: model, Version: versionName(model),
		})
		addresses = append(addresses, l.Addr().String())
		go func() { _ = e.Serve(l) }() // Serves until the process ends.
	}
	if err := json.NewEncoder(os.Stdout).Encode(addresses); err != nil {
		return errors.Wrap(err, "print addresses")
	}
	select {}
}

// addTo adds the engines to a configuration, distributed over models named m, m1, m2 and so on.
func (e *engineSet) addTo(set *object.Set) {
	for n := range e.models {
		name := modelName(n)
		version := versionName(name)
		set.Models[name] = &object.Model{Name: name, DefaultVersion: version}
		set.Versions[version] = &object.Version{Name: version, Model: name, Weights: name}
	}
	for n, address := range e.addresses {
		name := fmt.Sprintf("engine%d", n)
		set.BackendServers[name] = &object.BackendServer{
			Name: name, Kind: object.BackendModelEngine, FailureDomain: "a", Address: address,
			Model: modelName(n % e.models), Slots: engineSlots,
		}
	}
}

func modelName(n int) string {
	if n == 0 {
		return "m"
	}
	return fmt.Sprintf("m%d", n)
}

func versionName(model string) string { return model + "-v1" }

// publishFirst publishes the initial configuration and waits until all routers are serving.
func publishFirst(ctx context.Context, f *fleet.Fleet) error {
	err := fleet.Await(ctx, eventTimeout, "publish", func() error {
		_, err := f.Apply(ctx, 0)
		return err
	})
	if err != nil {
		return err
	}
	return f.AwaitServing(ctx)
}

// outputTokenCost is the cost of an output token in cost units; it equals the default of model objects.
const outputTokenCost = 2

// serviceMeter counts the service that callers receive: its cost in cost units and the completed requests.
type serviceMeter struct {
	mu          sync.Mutex
	cost        float64
	completions int
}

func (m *serviceMeter) addTokens(tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cost += float64(tokens * outputTokenCost)
}

func (m *serviceMeter) addCompletion() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.completions++
}

func (m *serviceMeter) totalCost() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cost
}

// startCallers starts callers of team t that keep a number of requests outstanding until the context ends. The group
// returned waits for them.
func (m *serviceMeter) startCallers(ctx context.Context, f *fleet.Fleet, outstanding int) *sync.WaitGroup {
	entries := func() []string {
		var list []string
		for _, r := range f.Routers {
			list = append(list, r.CallerAddress)
		}
		return list
	}
	group := &sync.WaitGroup{}
	for k := range outstanding {
		c := &load.Caller{Team: "t", Entries: entries}
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				body := load.CompletionBody("m", fmt.Sprintf("prompt %d of %d", n, k), 60)
				a := c.Complete(ctx, "m", body, m.addTokens)
				if a.Outcome == "completed" {
					m.addCompletion()
				} else {
					periodic.Sleep(ctx, 100*time.Millisecond)
				}
			}
		})
	}
	return group
}

func (m *serviceMeter) completed() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.completions
}
