package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"sync"

	"go.uber.org/multierr"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the binaries")
	seed := flag.Uint64("seed", 1, "seed of the load")
	only := flag.String("only", "", "run only this variant: fleet, alone or ideal")
	flag.Float64Var(&smallTeamWeight, "small-weight", smallTeamWeight, "weight of the small team")
	flag.IntVar(&fernleighEngines, "engines", fernleighEngines, "number of model engines of Fernleigh")
	flag.BoolVar(&keepLogs, "keep", false, "keep the directories with settings and logs")
	flag.Parse()
	if err := measure(context.Background(), *bin, *seed, *only); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// measure runs both deployments concurrently, the variants of each one after another.
func measure(ctx context.Context, bin string, seed uint64, only string) error {
	deployments := []deployment{fernleigh(), reciclaje()}
	results := make([]map[string]figures, len(deployments))
	errs := make([]error, len(deployments))
	var group sync.WaitGroup
	for n, d := range deployments {
		results[n] = make(map[string]figures)
		group.Go(func() { errs[n] = measureDeployment(ctx, bin, seed, only, d, results[n]) })
	}
	group.Wait()
	for n, d := range deployments {
		printVariants(d, results[n])
	}
	for n := range deployments {
		if f, ok := results[n]["fleet"]; ok {
			errs = append(errs, json.NewEncoder(os.Stdout).Encode(f))
		}
	}
	return multierr.Combine(errs...)
}

func measureDeployment(
	ctx context.Context, bin string, seed uint64, only string, d deployment, out map[string]figures,
) error {
	for _, v := range variants {
		if only != "" && only != v.name {
			continue
		}
		f, err := measureVariant(ctx, bin, d, v, seed)
		if err != nil {
			return fmt.Errorf("%s %s: %w", d.shape.Name, v.name, err)
		}
		out[v.name] = f
	}
	return nil
}

// printVariants prints the figures of all variants and the ratios of the fleet's figures to those of the baselines.
func printVariants(d deployment, results map[string]figures) {
	for _, v := range variants {
		f, ok := results[v.name]
		if !ok {
			continue
		}
		data, _ := json.Marshal(f) // Numbers and strings can always be encoded.
		fmt.Printf("%-10s %-6s %s\n", d.shape.Name, v.name, data)
		for class, bytes := range f.Classes {
			if bytes > 0 {
				fmt.Printf("%-10s %-6s control %-14s %8.0f B/s\n", d.shape.Name, v.name, class, bytes)
			}
		}
		for reason, n := range f.reasons {
			fmt.Printf("%-10s %-6s %6d x %s\n", d.shape.Name, v.name, n, reason)
		}
	}
	f := results["fleet"]
	for _, name := range []string{"alone", "ideal"} {
		if b, ok := results[name]; ok && b.FairnessGap > 0 && b.Utilisation > 0 && b.SmallWaitFlood > 0 {
			fmt.Printf("%-10s fleet/%s: gap %.3f, utilisation %.3f, small team's wait beside flood %.3f\n", d.shape.Name,
				name, f.FairnessGap/b.FairnessGap, f.Utilisation/b.Utilisation, f.SmallWaitFlood/b.SmallWaitFlood)
		}
	}
	if f.SmallWaitQuiet > 0 {
		fmt.Printf("%-10s fleet: small team's wait beside the flood is %.3f of that without it\n",
			d.shape.Name, f.SmallWaitFlood/f.SmallWaitQuiet)
	}
}
