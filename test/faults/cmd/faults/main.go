// Command faults runs fault scenarios against real processes. It prints one line for each run, and a summary in JSON as
// the last line. It exits with status 1 if a guarantee was violated or a scenario could not be run.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"sort"
	"time"

	"gooseberrytide.example/gooseberrytide/test/faults"
)

// summary holds the totals of all runs. It is the last line of output.
type summary struct {
	Seeds             int `json:"seeds"`
	Requests          int `json:"requests"`
	ExecutedTwice     int `json:"executed_twice"`
	NotRunButExecuted int `json:"not_run_but_executed"`
	Lost              int `json:"lost"`
	Cut               int `json:"cut"`
	Reverted          int `json:"reverted"`
}

func main() {
	opts := faults.Options{}
	flag.StringVar(&opts.Bin, "bin", "bin", "directory of the programs")
	flag.StringVar(&opts.Scenario, "scenario", "",
		fmt.Sprintf("run only this scenario, one of %v", faults.ScenarioNames()))
	flag.IntVar(&opts.Seeds, "seeds", len(faults.ScenarioNames()),
		"number of runs; each takes the next scenario and the next seed")
	flag.Uint64Var(&opts.FirstSeed, "first-seed", 1, "first seed")
	flag.DurationVar(&opts.Duration, "duration", 8*time.Second, "duration of a fault")
	flag.DurationVar(&opts.Pause, "pause", 20*time.Second, "duration of a router's pause")
	flag.BoolVar(&opts.CheckFresh, "check-fresh", true, "check that a configuration is in force within 6 s")
	flag.IntVar(&opts.Parallel, "parallel", max(runtime.NumCPU()/2, 1), "number of concurrent runs")
	verbose := flag.Bool("verbose", false, "print the number of requests by outcome")
	flag.Parse()
	var sum summary
	failed := false
	err := faults.Run(context.Background(), opts, func(r *faults.Result) {
		printResult(r, *verbose)
		sum.add(r)
		failed = failed || r.Failed()
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "faults:", err)
		os.Exit(1)
	}
	line, _ := json.Marshal(sum) // Numbers can always be encoded.
	fmt.Println(string(line))
	if failed {
		os.Exit(1)
	}
}

func (s *summary) add(r *faults.Result) {
	s.Seeds++
	s.Requests += r.Requests
	s.ExecutedTwice += r.ExecutedTwice
	s.NotRunButExecuted += r.NotRunButExecuted
	s.Lost += r.Lost
	s.Cut += r.Cut
	s.Reverted += r.Reverted
}

// maxPrintedFailures is the largest number of failures that are printed for one run.
const maxPrintedFailures = 20

// printResult prints the result of a run, and the failures and the directory of the logs if it failed.
func printResult(r *faults.Result, verbose bool) {
	verdict := "ok"
	if r.Failed() {
		verdict = "FAILED, logs in " + r.Dir
	}
	fmt.Printf("%-24s seed %-4d %6d requests  executed twice %d, not-run but executed %d, lost %d, cut %d, reverted %d, max staleness %.1f s  %s\n",
		r.Scenario, r.Seed, r.Requests, r.ExecutedTwice, r.NotRunButExecuted, r.Lost, r.Cut, r.Reverted,
		r.MaxStaleness.Seconds(), verdict)
	if r.Err != nil {
		fmt.Printf("    error: %v\n", r.Err)
	}
	for n, failure := range r.Failures {
		if n == maxPrintedFailures {
			fmt.Printf("    and %d more\n", len(r.Failures)-n)
			break
		}
		fmt.Printf("    %s\n", failure)
	}
	if verbose || r.Failed() {
		printOutcomes(r.Outcomes)
	}
}

func printOutcomes(outcomes map[string]int) {
	var names []string
	for name := range outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Printf("    %6d %s\n", outcomes[name], name)
	}
}
