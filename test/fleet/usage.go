package fleet

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"

	"gooseberrytide.example/gooseberrytide/internal/daemon"
)

// ticksPerSecond is the number of clock ticks per second, the unit of processor times in /proc.
const ticksPerSecond = 100

// Metrics returns the router's metrics.
func (r *Router) Metrics(ctx context.Context) (daemon.Metrics, error) {
	var vars struct {
		Metrics daemon.Metrics `json:"gooseberrytide"`
	}
	err := Do(ctx, http.MethodGet, "http://"+r.CallerAddress+"/v1/admin/metrics", nil, &vars)
	return vars.Metrics, err
}

// CPUSeconds returns the user and system processor time that a process has used, in seconds.
func CPUSeconds(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The process name in parentheses may contain spaces, so fields are counted from the state, which follows it.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond, err
}

// memory returns the resident set of a process and its peak, in MB.
func memory(pid int) (rss, peak float64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseFloat(fields[1], 64) // Only the two fields below are used; both are numbers.
		switch fields[0] {
		case "VmRSS:":
			rss = kilobytes * 1024 / 1e6
		case "VmHWM:":
			peak = kilobytes * 1024 / 1e6
		}
	}
	return rss, peak, nil
}

// LargestMemory returns the largest resident set of the routers and their largest peak, in MB.
func LargestMemory(f *Fleet) (rss, peak float64, err error) {
	for _, r := range f.Routers {
		routerRSS, routerPeak, err := memory(r.PID())
		if err != nil {
			return 0, 0, err
		}
		rss, peak = math.Max(rss, routerRSS), math.Max(peak, routerPeak)
	}
	return rss, peak, nil
}

// Mean returns the mean of the values, or 0 if there are none.
func Mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// Largest returns the largest value, or 0 if there are none or all are negative.
func Largest(values []float64) float64 {
	out := 0.0
	for _, v := range values {
		out = math.Max(out, v)
	}
	return out
}

// Round rounds a value to four decimal places.
func Round(v float64) float64 { return math.Round(v*1e4) / 1e4 }
