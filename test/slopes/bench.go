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
	benchLine = regexp.MustCompile(`(?m)^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+([\d.]+) ns/op(.*)$`)
	bytesPull = regexp.MustCompile(`([\d.]+) bytes/pull`)
	trafficRE = regexp.MustCompile(`(\d+) members: converged in (\S+); crash seen by all in (\S+); per node (\d+) B/s`)
)

// benchmarks runs the benchmarks of the decision core and of the configuration, and the deterministic simulation of
// the membership. The simulation counts bytes in simulated time, so it may run beside the benchmarks.
func (s *suite) benchmarks(ctx context.Context) error {
	return concurrently(
		func() error { return s.goBenchmarks(ctx) },
		func() error { return s.traffic(ctx) },
	)
}

func (s *suite) goBenchmarks(ctx context.Context) error {
	out, err := goTest(ctx, "-run", "^$", "-bench", ".", "-benchtime", "0.5s",
		"./internal/coordination/scheduler", "./internal/coordination/publish",
		"./internal/coordination/ownership", "./internal/state/snapshot")
	if err != nil {
		return err
	}
	lines := benchLine.FindAllStringSubmatch(out, -1)
	if len(lines) == 0 {
		return errors.Errorf("no benchmark in the output:\n%s", out)
	}
	for _, m := range lines {
		ns, err := strconv.ParseFloat(m[2], 64)
		if err != nil {
			return errors.Wrap(err, m[0])
		}
		s.out.set("bench_us/"+m[1], ns/1000)
		if pull := bytesPull.FindStringSubmatch(m[3]); pull != nil {
			size, _ := strconv.ParseFloat(pull[1], 64) // The expression matches only numbers.
			s.out.set("bench_pull_bytes", size)
		}
	}
	return nil
}

func (s *suite) traffic(ctx context.Context) error {
	out, err := goTest(ctx, "-run", "^TestTraffic$", "-v", "./internal/coordination/membership")
	if err != nil {
		return err
	}
	lines := trafficRE.FindAllStringSubmatch(out, -1)
	if len(lines) == 0 {
		return errors.Errorf("no traffic in the output:\n%s", out)
	}
	for _, m := range lines {
		rate, _ := strconv.ParseFloat(m[4], 64) // The expression matches only numbers.
		s.out.set("membership_sim_bytes_s/members="+m[1], rate)
	}
	return nil
}

// goTest runs tests of this module and returns their output.
func goTest(ctx context.Context, args ...string) (string, error) {
	out, err := exec.CommandContext(ctx, "go", append([]string{"test", "-count=1"}, args...)...).CombinedOutput()
	if err != nil {
		return "", errors.Errorf("go test %s: %v\n%s", strings.Join(args, " "), err, out)
	}
	return string(out), nil
}
