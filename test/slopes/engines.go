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

// enginesPerProcess keeps the connections of a process below usual limits of open files.
const enginesPerProcess = 1500

// engines are engine stand-ins with a port of their own each, as the configuration refuses two backend servers at one
// address. Many share a process, so that a measurement needs no thousands of processes.
type engines struct {
	processes []*exec.Cmd
	addresses []string
	models    int
}

// newEngines starts engines in processes of this program. Each has loaded its model, so that no orders are given.
func newEngines(n, models int) (*engines, error) {
	e := &engines{models: models}
	for first := 0; first < n; first += enginesPerProcess {
		if err := e.start(first, min(n-first, enginesPerProcess)); err != nil {
			e.close()
			return nil, err
		}
	}
	return e, nil
}

func (e *engines) start(first, count int) error {
	cmd := exec.Command(os.Args[0], "--serve-engines", strconv.Itoa(count),
		"--first-engine", strconv.Itoa(first), "--engine-models", strconv.Itoa(e.models))
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "engines: open output")
	}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "engines: start")
	}
	e.processes = append(e.processes, cmd)
	var addresses []string
	if err := json.NewDecoder(out).Decode(&addresses); err != nil {
		return errors.Wrap(err, "engines: addresses")
	}
	e.addresses = append(e.addresses, addresses...)
	return nil
}

func (e *engines) close() {
	for _, p := range e.processes {
		_ = p.Process.Kill()
		_ = p.Wait() // It was killed.
	}
}

// serveEngines runs engines in this process until it is killed, after it has printed their addresses.
func serveEngines(first, n, models int) error {
	var addresses []string
	for k := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		model := modelName((first + k) % models)
		one := engine.New(engine.Options{
			Slots: engineSlots, DecodeRate: 50, AnyModel: true, Model: model, Version: versionName(model),
		})
		addresses = append(addresses, l.Addr().String())
		go func() { _ = one.Serve(l) }() // It ends with the process.
	}
	if err := json.NewEncoder(os.Stdout).Encode(addresses); err != nil {
		return errors.Wrap(err, "print addresses")
	}
	select {}
}

// addTo adds the engines to a configuration, spread over models named m, m1, m2 and so on.
func (e *engines) addTo(set *object.Set) {
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

// publishFirst publishes the first configuration and waits until all routers serve.
func publishFirst(ctx context.Context, f *fleet.Fleet) error {
	err := fleet.Await(ctx, eventLimit, "publish", func() error {
		_, err := f.Apply(ctx, 0)
		return err
	})
	if err != nil {
		return err
	}
	return f.AwaitServing(ctx)
}

// outputTokenCost is the cost of a token in cost units; the default of model objects.
const outputTokenCost = 2

// meter counts the service that callers receive.
type meter struct {
	mu    sync.Mutex
	cost  float64
	ended int
}

func (m *meter) add(tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cost += float64(tokens * outputTokenCost)
}

func (m *meter) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended++
}

func (m *meter) total() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cost
}

// drive keeps requests of one team running until the context ends.
func (m *meter) drive(ctx context.Context, f *fleet.Fleet, outstanding int) *sync.WaitGroup {
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
				a := c.Complete(ctx, "m", body, m.add)
				if a.Outcome == "completed" {
					m.end()
				} else {
					periodic.Sleep(ctx, 100*time.Millisecond)
				}
			}
		})
	}
	return group
}

func (m *meter) completed() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}
