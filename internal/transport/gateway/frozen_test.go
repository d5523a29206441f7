package gateway

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// engineAddressVariable holds the address of the engine for the gateway that runs in a process of its own.
const engineAddressVariable = "GATEWAY_TEST_ENGINE"

// TestGatewayProcess is the gateway's process of TestEventsThatArriveWhileTheRouterIsFrozen. It serves until its
// standard input is closed.
func TestGatewayProcess(t *testing.T) {
	address := os.Getenv(engineAddressVariable)
	if address == "" {
		return
	}
	h := newGatewayHarness(t, []string{address})
	fmt.Println(h.server.Listener.Addr())
	_, _ = bufio.NewReader(os.Stdin).ReadByte()
}

// Guards against a stream that is cut when its router runs again after a pause of its process: timers are due at once,
// although the events have arrived in the meantime.
func TestEventsThatArriveWhileTheRouterIsFrozen(t *testing.T) {
	g := NewWithT(t)
	engine := platformengine.New("i-a")
	engine.Events, engine.Pause = 30, 100*time.Millisecond
	server := httptest.NewServer(engine)
	defer server.Close()
	process, address := startGatewayProcess(t, server.Listener.Addr().String())
	h := &harness{t: t, server: &httptest.Server{URL: "http://" + address}}
	for attempt := range 2 {
		id := fmt.Sprintf("a%d", attempt)
		time.AfterFunc(300*time.Millisecond, func() { _ = process.Signal(syscall.SIGSTOP) })
		time.AfterFunc(2300*time.Millisecond, func() { _ = process.Signal(syscall.SIGCONT) })
		r := h.stream("/digest/x", id)
		r.Header.Set("Deadline-Ms", "6000")
		resp := h.do(r)
		g.Expect(resp.err).NotTo(HaveOccurred())
		g.Expect(resp.status).To(Equal(http.StatusOK))
		g.Expect(strings.Count(resp.body, "id: ")).To(Equal(engine.Events))
		g.Expect(engine.Runs(id)).To(Equal(1))
	}
}

// startGatewayProcess starts a gateway in a process of its own and returns the process and the gateway's address.
func startGatewayProcess(t *testing.T, engineAddress string) (*os.Process, string) {
	t.Helper()
	command := exec.Command(os.Args[0], "-test.run=^TestGatewayProcess$")
	command.Env = append(os.Environ(), engineAddressVariable+"="+engineAddress)
	input, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = input.Close()
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return command.Process, strings.TrimSpace(line)
}
