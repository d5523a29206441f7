package gateway

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/platform"
)

// routerProcessVariable makes TestRouterProcess run a router.
const routerProcessVariable = "GOOSEBERRYTIDE_TEST_ROUTER_PROCESS"

// TestRouterProcess is not a test of its own. It is the process of a router that another test starts.
func TestRouterProcess(t *testing.T) {
	if os.Getenv(routerProcessVariable) == "" {
		t.Skip("started by other tests")
	}
	if err := Main(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// Guards against a SIGHUP that ends the process because it comes before the settings have been read.
func TestHangupWhileTheSettingsAreRead(t *testing.T) {
	g := NewWithT(t)
	settings := filepath.Join(t.TempDir(), "settings")
	g.Expect(syscall.Mkfifo(settings, 0o600)).To(Succeed())
	process := exec.Command(os.Args[0], "-test.run=^TestRouterProcess$", "-test.timeout=20s")
	process.Env = append(os.Environ(), routerProcessVariable+"=1", platform.SettingsVariable+"="+settings)
	g.Expect(process.Start()).To(Succeed())
	t.Cleanup(func() { _ = process.Process.Kill() })
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns once the process reads the settings
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(process.Process.Signal(syscall.SIGHUP)).To(Succeed())
	time.Sleep(100 * time.Millisecond) // a process without a handler ends meanwhile
	_, _ = pipe.WriteString("invalid: [")
	g.Expect(pipe.Close()).To(Succeed())
	g.Expect(process.Wait()).NotTo(Succeed(), "the settings are invalid")
	g.Expect(process.ProcessState.Exited()).To(BeTrue(), process.ProcessState.String())
}
