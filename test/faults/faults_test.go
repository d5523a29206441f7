package faults

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// shortScenarios are the scenarios that run with the other tests. `make faults` runs all scenarios, and for longer.
var shortScenarios = []string{
	"kill-dispatcher", "pause-claim-holder", "partition-router", "store-lost-late", "store-down-empty-router",
	"service-drops", "rolling-restart", "publish-partition",
}

// buildPrograms builds the daemon and the stand-ins, and returns their directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"cmd/gooseberrytided", "test/standin/cmd/standin"} {
		command := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(dir, filepath.Base(name)), "./"+name)
		command.Dir = filepath.Join("..", "..")
		if out, err := command.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", name, err, out)
		}
	}
	return dir
}

// Guards the guarantees to callers while router processes are killed, paused, cut off and replaced, and while the store
// is down or loses answers. Each scenario has a fixed seed.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	opts := Options{Bin: buildPrograms(t), Duration: 3 * time.Second, Pause: 5 * time.Second}
	slots := make(chan struct{}, 3)
	for n, name := range shortScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			list, err := selectScenarios(name)
			if err != nil {
				t.Fatal(err)
			}
			r := runScenario(context.Background(), opts, list[0], uint64(n+1))
			t.Logf("%d requests, %v", r.Requests, r.Outcomes)
			if r.Err != nil {
				t.Errorf("%v; logs in %s", r.Err, r.Dir)
			}
			for _, detail := range r.Failures {
				t.Errorf("%s; logs in %s", detail, r.Dir)
			}
		})
	}
}
