package daemon

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zaptest"

	"gooseberrytide.example/gooseberrytide/internal/coordination/publish"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/transport/etcdkv"
	"gooseberrytide.example/gooseberrytide/test/standin/engine"
	"gooseberrytide.example/gooseberrytide/test/standin/kvstore"
	"gooseberrytide.example/gooseberrytide/test/standin/service"
	"gooseberrytide.example/gooseberrytide/test/standin/vmlist"
)

// conditionTimeout bounds the wait for a condition. It is long because the machine may be busy.
const conditionTimeout = 60 * time.Second

const (
	testKey    = "key-of-alarms"
	testPrompt = "Summarise the ventilation faults of shed 4."
)

// testFleet runs daemons in one process, with stand-ins for the VM list, the store and the backend servers.
type testFleet struct {
	vmList    *vmlist.Server
	store     *kvstore.Server
	storeURL  string
	vmListURL string
	service   *service.Service
	daemons   []*Daemon
	cancels   []context.CancelFunc
	runErrs   []chan error
}

func sha256Hex(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func serveHandler(h http.Handler) string {
	server := httptest.NewServer(h)
	DeferCleanup(func() {
		// The routers stop later than this server, and keep their subscriptions to engine events open until then.
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

// newTestPlatform starts the stand-ins of the VM list and the store, without routers.
func newTestPlatform() *testFleet {
	f := &testFleet{vmList: vmlist.New(vmlist.Options{}), store: kvstore.New(kvstore.Options{})}
	f.storeURL = serveHandler(f.store)
	f.vmListURL = serveHandler(f.vmList)
	DeferCleanup(f.stopAll)
	return f
}

// newTestFleet starts the stand-ins and the given number of routers, and lists their VMs.
func newTestFleet(routers int) *testFleet {
	f := newTestPlatform()
	for n := range routers {
		f.startDaemon(fmt.Sprintf("r%d", n+1))
	}
	f.publishVMs()
	return f
}

func (f *testFleet) startDaemon(id string) {
	s := &Settings{
		ID: id, FailureDomain: "north",
		PeerListen: "127.0.0.1:0", CallerListen: "127.0.0.1:0",
		SharedKey: "0123456789abcdef", StoreURL: f.storeURL, VMListURL: f.vmListURL,
		OperatorTokenHash: sha256Hex("token"), AddressLifetimeSeconds: 1,
	}
	Expect(s.provision()).To(Succeed())
	Expect(s.validate("test")).To(Succeed())
	d, err := New(s, zaptest.NewLogger(GinkgoT()), ident.Incarnation(time.Now().UnixMicro()))
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- d.Run(ctx) }()
	f.daemons = append(f.daemons, d)
	f.cancels = append(f.cancels, cancel)
	f.runErrs = append(f.runErrs, runErr)
}

func (f *testFleet) stopAll() {
	for _, cancel := range f.cancels {
		cancel()
	}
	for n, runErr := range f.runErrs {
		Expect(<-runErr).To(Succeed(), "router %d", n+1)
	}
}

func (f *testFleet) publishVMs() {
	var list []vmlist.VM
	for _, d := range f.daemons {
		list = append(list, vmlist.VM{
			ID: d.settings.ID, PeerAddress: d.PeerAddr(), CallerAddress: d.CallerAddr(),
			FailureDomain: "north", State: vmlist.StateLive,
		})
	}
	f.vmList.Set(list)
}

// publish publishes a configuration with one engine and one service instance.
func (f *testFleet) publish() {
	f.service = service.New(service.Options{})
	engineURL := serveHandler(engine.New(engine.Options{AnyModel: true, DecodeRate: 500}).Handler())
	serviceURL := serveHandler(f.service.Handler())
	set := object.NewSet()
	set.FailureDomains["north"] = &object.FailureDomain{Name: "north"}
	set.Teams["alarms"] = &object.Team{Name: "alarms", APIKeyHashes: []string{sha256Hex(testKey)}}
	set.Models["summary"] = &object.Model{Name: "summary", DefaultVersion: "summary-v1"}
	set.Versions["summary-v1"] = &object.Version{Name: "summary-v1", Model: "summary", Weights: "summary-v1"}
	set.Services["callout"] = &object.Service{Name: "callout", Routes: []object.Route{{PathPrefix: "/"}}}
	set.BackendServers["e1"] = &object.BackendServer{
		Name: "e1", Kind: object.BackendModelEngine, Address: strings.TrimPrefix(engineURL, "http://"),
		FailureDomain: "north", Model: "summary", Slots: 4,
	}
	set.BackendServers["s1"] = &object.BackendServer{
		Name: "s1", Kind: object.BackendService, Address: strings.TrimPrefix(serviceURL, "http://"),
		FailureDomain: "north", Service: "callout", Slots: 4,
	}
	p := publish.NewPublisher(etcdkv.New(etcdkv.Options{URL: f.storeURL}), func() bool { return true })
	_, err := p.Publish(context.Background(), 0, set)
	Expect(err).NotTo(HaveOccurred())
}

// eventually repeats a check until it passes or conditionTimeout is over.
func (f *testFleet) eventually(what string, check func() error) {
	Eventually(check).WithTimeout(conditionTimeout).WithPolling(20*time.Millisecond).Should(Succeed(), what)
}

func (f *testFleet) awaitServing() {
	for _, d := range f.daemons {
		f.eventually(d.settings.ID+" serves", func() error {
			routes := d.routes.Load()
			if routes == nil || len(routes.Live) != len(f.daemons) || len(routes.Pools) != 2 {
				return fmt.Errorf("routes %+v", routes)
			}
			for _, pool := range routes.Pools {
				if pool.Owners[0].Router == "" {
					return fmt.Errorf("no dispatcher")
				}
			}
			return d.ready()
		})
	}
}

// post sends a caller's request to a router and returns the response and its body.
func (f *testFleet) post(d *Daemon, path, body string, header map[string]string) (*http.Response, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.CallerAddr()+path, bytes.NewBufferString(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, string(data)
}
