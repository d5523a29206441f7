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

// wait bounds the wait for a condition. It is wide because the machine may be busy.
const wait = 60 * time.Second

const (
	testKey    = "key-of-alarms"
	testPrompt = "Summarise the ventilation faults of shed 4."
)

// testFleet is a fleet of daemons in one process with stand-ins.
type testFleet struct {
	list    *vmlist.Server
	store   *kvstore.Server
	stores  string
	lists   string
	service *service.Service
	daemons []*Daemon
	stops   []context.CancelFunc
	ends    []chan error
}

func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func serveHandler(h http.Handler) string {
	server := httptest.NewServer(h)
	DeferCleanup(func() {
		// Subscriptions to engines last as long as the routers, which stop later.
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

// newTestPlatform starts the stand-ins of the platform.
func newTestPlatform() *testFleet {
	f := &testFleet{list: vmlist.New(vmlist.Options{}), store: kvstore.New(kvstore.Options{})}
	f.stores = serveHandler(f.store)
	f.lists = serveHandler(f.list)
	DeferCleanup(f.stopAll)
	return f
}

// newTestFleet starts the platform and routers that are in the VM list.
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
		SharedKey: "0123456789abcdef", StoreURL: f.stores, VMListURL: f.lists,
		OperatorTokenHash: hashOf("token"), AddressLifetimeSeconds: 1,
	}
	Expect(s.provision()).To(Succeed())
	Expect(s.validate("test")).To(Succeed())
	d, err := New(s, zaptest.NewLogger(GinkgoT()), ident.Incarnation(time.Now().UnixMicro()))
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- d.Run(ctx) }()
	f.daemons = append(f.daemons, d)
	f.stops = append(f.stops, stop)
	f.ends = append(f.ends, end)
}

func (f *testFleet) stopAll() {
	for _, stop := range f.stops {
		stop()
	}
	for n, end := range f.ends {
		Expect(<-end).To(Succeed(), "router %d", n+1)
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
	f.list.Set(list)
}

// publish publishes a set with one engine and one service instance.
func (f *testFleet) publish() {
	f.service = service.New(service.Options{})
	engineURL := serveHandler(engine.New(engine.Options{AnyModel: true, DecodeRate: 500}).Handler())
	serviceURL := serveHandler(f.service.Handler())
	set := object.NewSet()
	set.FailureDomains["north"] = &object.FailureDomain{Name: "north"}
	set.Teams["alarms"] = &object.Team{Name: "alarms", APIKeyHashes: []string{hashOf(testKey)}}
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
	p := publish.NewPublisher(etcdkv.New(etcdkv.Options{URL: f.stores}), func() bool { return true })
	_, err := p.Publish(context.Background(), 0, set)
	Expect(err).NotTo(HaveOccurred())
}

// eventually repeats a check until it passes.
func (f *testFleet) eventually(what string, check func() error) {
	Eventually(check).WithTimeout(wait).WithPolling(20*time.Millisecond).Should(Succeed(), what)
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

// post sends a caller's request to a router and returns the answer.
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
