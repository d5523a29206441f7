package main

import (
	"context"
	"os/exec"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

var (
	benchmarkLine = regexp.MustCompile(`(?m)^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+([\d.]+) ns/op(.*)$`)
	pullBytes     = regexp.MustCompile(`([\d.]+) bytes/pull`)
	trafficLine   = regexp.MustCompile(`(\d+) members: converged in (\S+); crash seen by all in (\S+); per node (\d+) B/s`)
)

// runBenchmarks runs the Go benchmarks of scheduling, ownership and configuration, and the deterministic simulation of
// the membership protocol. The simulation counts bytes in simulated time, so it can run alongside the benchmarks.
func (s *suite) runBenchmarks(ctx context.Context) error {
	return concurrently(
		func() error { return s.measureBenchmarks(ctx) },
		func() error { return s.measureMembershipTraffic(ctx) },
	)
}

func (s *suite) measureBenchmarks(ctx context.Context) error {
	out, err := goTest(ctx, "-run", "^$", "-bench", ".", "-benchtime", "0.5s",
		"./internal/coordination/scheduler", "./internal/coordination/publish",
		"./internal/coordination/ownership", "./internal/state/snapshot")
	if err != nil {
		return err
	}
	lines := benchmarkLine.FindAllStringSubmatch(out, -1)
	if len(lines) == 0 {
		return errors.Errorf("no benchmark result in the output of go test:\n%s", out)
	}
	for _, m := range lines {
		ns, err := strconv.ParseFloat(m[2], 64)
		if err != nil {
			return errors.Wrap(err, m[0])
		}
		s.results.set("bench_us/"+m[1], ns/1000)
		if pull := pullBytes.FindStringSubmatch(m[3]); pull != nil {
			size, _ := strconv.ParseFloat(pull[1], 64) // The expression matches only numbers.
			s.results.set("bench_pull_bytes", size)
		}
	}
	return nil
}

func (s *suite) measureMembershipTraffic(ctx context.Context) error {
	out, err := goTest(ctx, "-run", "^TestTraffic$", "-v", "./internal/coordination/membership")
	if err != nil {
		return err
	}
	lines := trafficLine.FindAllStringSubmatch(out, -1)
	if len(lines) == 0 {
		return errors.Errorf("no membership traffic in the output of go test:\n%s", out)
	}
	for _, m := range lines {
		rate, _ := strconv.ParseFloat(m[4], 64) // The expression matches only numbers.
		s.results.set("membership_sim_bytes_s/members="+m[1], rate)
	}
	return nil
}

// goTest runs go test in this module and returns its output.
func goTest(ctx context.Context, args ...string) (string, error) {
	out, err := exec.CommandContext(ctx, "go", append([]string{"test", "-count=1"}, args...)...).CombinedOutput()
	if err != nil {
		return "", errors.Errorf("go test %s: %v\n%s", strings.Join(args, " "), err, out)
	}
	return string(out), nil
}
