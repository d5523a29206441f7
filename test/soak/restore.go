package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

const (
	// outageTime is how long the store is away in a measured outage. copyAge is how old the copy is that it comes back from.
	outageTime = time.Second
	copyAge    = 3 * time.Second
	// currentTimeout is the longest wait for all routers to have a configuration in force.
	currentTimeout = 30 * time.Second
	// currentPollPeriod is the time between two checks of the routers.
	currentPollPeriod = 20 * time.Millisecond
)

// restoreCommand measures the time from the return of the store until all routers have the configuration in force that
// is written at that moment.
func restoreCommand() *cli.Command {
	return &cli.Command{
		Name:  "restore",
		Usage: "measure the time until all routers are current after an outage of the store, and after a restore",
		Flags: []cli.Flag{&cli.IntFlag{Name: "rounds", Value: 5, Usage: "outages of each kind"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return measureRestores(ctx, optionsOf(c), c.Int("rounds"))
		},
	}
}

func measureRestores(ctx context.Context, o options, rounds int) error {
	if err := os.MkdirAll(o.dir, 0o755); err != nil {
		return err
	}
	d, err := newDeployment(o.dir, o.binary, 1, o.routers, o.engines)
	if err != nil {
		return err
	}
	defer d.close()
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	for _, restored := range []bool{false, true} {
		var times []time.Duration
		for range rounds {
			periodic.Sleep(ctx, settleTime)
			t, err := d.measureOutage(ctx, restored)
			if err != nil {
				return err
			}
			times = append(times, t)
		}
		slices.Sort(times)
		name := map[bool]string{false: "outage", true: "restore"}[restored]
		fmt.Printf("%d routers, %s: all current after %v (median), %v (longest of %d)\n", o.routers, name,
			times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond), rounds)
	}
	return nil
}

// measureOutage lets the store be away for outageTime, and come back from an older copy if restored is set. It returns
// the time from its return until all routers serve a route of the configuration that is then written.
func (d *deployment) measureOutage(ctx context.Context, restored bool) (time.Duration, error) {
	older := d.store.Copy()
	periodic.Sleep(ctx, copyAge)
	d.writeConfig() // the copy lacks it
	periodic.Sleep(ctx, settleTime)
	d.store.SetDown(true)
	periodic.Sleep(ctx, outageTime)
	if restored {
		d.store.Restore(older)
	}
	d.store.SetDown(false)
	start := time.Now()
	d.writeConfig()
	for _, e := range d.engines {
		d.writeEngineEntry(e, "ready")
	}
	path := versionRoute(d.version)
	client := &http.Transport{}
	defer client.CloseIdleConnections()
	for _, r := range d.routers {
		for d.send(ctx, client, r, path, "key-0").status != http.StatusOK {
			if ctx.Err() != nil || time.Since(start) > currentTimeout {
				return 0, errors.Errorf("%s is not current after %v", r.name, currentTimeout)
			}
			periodic.Sleep(ctx, currentPollPeriod)
		}
	}
	return time.Since(start), nil
}
