package daemon

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap/zaptest"

	"gooseberrytide.example/gooseberrytide/internal/coordination/publish"
	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
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
	t       *testing.T
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

func serveHandler(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		// Subscriptions to engines last as long as the routers, which stop later.
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

func newTestFleet(t *testing.T, routers int) *testFleet {
	t.Helper()
	f := &testFleet{t: t, list: vmlist.New(vmlist.Options{}), store: kvstore.New(kvstore.Options{})}
	f.stores = serveHandler(t, f.store)
	f.lists = serveHandler(t, f.list)
	for n := range routers {
		f.startDaemon(fmt.Sprintf("r%d", n+1))
	}
	f.publishVMs()
	t.Cleanup(f.stopAll)
	return f
}

func (f *testFleet) startDaemon(id string) {
	f.t.Helper()
	s := &Settings{
		ID: id, FailureDomain: "north",
		PeerListen: "127.0.0.1:0", CallerListen: "127.0.0.1:0",
		SharedKey: "0123456789abcdef", StoreURL: f.stores, VMListURL: f.lists,
		OperatorTokenHash: hashOf("token"), AddressLifetimeSeconds: 1,
	}
	if err := s.provision(); err != nil {
		f.t.Fatal(err)
	}
	if err := s.validate("test"); err != nil {
		f.t.Fatal(err)
	}
	d, err := New(s, zaptest.NewLogger(f.t), ident.Incarnation(time.Now().UnixMicro()))
	if err != nil {
		f.t.Fatal(err)
	}
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
		if err := <-end; err != nil {
			f.t.Errorf("router %d: %v", n+1, err)
		}
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
	f.t.Helper()
	f.service = service.New(service.Options{})
	engineURL := serveHandler(f.t, engine.New(engine.Options{AnyModel: true, DecodeRate: 500}).Handler())
	serviceURL := serveHandler(f.t, f.service.Handler())
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
	if _, err := p.Publish(context.Background(), 0, set); err != nil {
		f.t.Fatal(err)
	}
}

// eventually repeats a check until it passes.
func (f *testFleet) eventually(what string, check func() error) {
	f.t.Helper()
	deadline := time.Now().Add(wait)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *testFleet) awaitServing() {
	f.t.Helper()
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
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+d.CallerAddr()+path, bytes.NewBufferString(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return resp, string(data)
}

// Guards against a whole path that works only where the ingress is the dispatcher.
func TestRequestsAreServedThroughEveryRouter(t *testing.T) {
	f := newTestFleet(t, 3)
	f.publish()
	f.awaitServing()
	want := engine.Text(0, testPrompt, 0, 12)
	for _, d := range f.daemons {
		body := fmt.Sprintf(`{"model":"summary","prompt":%q,"max_tokens":12}`, testPrompt)
		resp, text := f.post(d, "/v1/completions", body, nil)
		if resp.StatusCode != http.StatusOK || resp.Header.Get("Gooseberrytide-Outcome") != "completed" {
			t.Fatalf("%s: status %d, header %v, body %s", d.settings.ID, resp.StatusCode, resp.Header, text)
		}
		if !strings.Contains(text, strings.TrimSpace(want)) {
			t.Fatalf("%s: %s does not contain %q", d.settings.ID, text, want)
		}
	}
}

// Guards against a second run of a non-idempotent call whose caller asks again at another router.
func TestRepeatedKeyAtAnotherRouterRunsOnce(t *testing.T) {
	f := newTestFleet(t, 2)
	f.publish()
	f.awaitServing()
	header := map[string]string{"Idempotency-Key": "call-out-7"}
	_, first := f.post(f.daemons[0], "/v1/services/callout/engineers", "{}", header)
	_, second := f.post(f.daemons[1], "/v1/services/callout/engineers", "{}", header)
	if first != second {
		t.Errorf("first answer %s, second %s", first, second)
	}
	if counts := f.service.Counts(); counts.ByKey["alarms/call-out-7"] != 1 {
		t.Errorf("executions %+v", counts)
	}
}

// Guards against routers without addresses to name, and against malformed addresses.
func TestAddressesNameLiveRouters(t *testing.T) {
	f := newTestFleet(t, 2)
	f.publish()
	f.awaitServing()
	resp, err := http.Get("http://" + f.daemons[0].CallerAddr() + "/v1/addresses?team=alarms&model=summary")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	owner := f.daemons[0].dispatchers(ident.ModelPool("summary"))[0]
	for _, d := range f.daemons {
		if _, port, err := net.SplitHostPort(d.CallerAddr()); err != nil || port == "0" {
			t.Errorf("address %s", d.CallerAddr())
		}
		if d.settings.ID == string(owner) && !strings.Contains(string(data), d.CallerAddr()) {
			t.Errorf("the dispatcher %s is missing in %s", d.CallerAddr(), data)
		}
	}
}

// Guards against a router that reports itself ready before it knows the dispatchers, and against a fleet of one router
// that waits for answers of others.
func TestReadyRouterTakesRequestsAtOnce(t *testing.T) {
	f := newTestFleet(t, 1)
	f.publish()
	d := f.daemons[0]
	f.eventually("serves", func() error {
		if !d.status().Serving {
			return errNotServing
		}
		return nil
	})
	resp, text := f.post(d, "/v1/completions", `{"model":"summary","prompt":"p","max_tokens":2}`, nil)
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d: %s", resp.StatusCode, text)
	}
}

// Guards against a time line that misses the part of a request at its dispatcher or puts it out of order.
func TestTimelineOfARequestCoversItsRouters(t *testing.T) {
	f := newTestFleet(t, 3)
	f.publish()
	f.awaitServing()
	resp, _ := f.post(f.daemons[0], "/v1/completions", `{"model":"summary","prompt":"p","max_tokens":2}`, nil)
	id := resp.Header.Get("Gooseberrytide-Request-Id")
	for _, d := range f.daemons {
		line, err := operators{d}.Timeline(context.Background(), admin.TimelineQuery{Request: id, Limit: 100})
		if err != nil || len(line.Unreachable) > 0 {
			t.Fatalf("%v, unreachable %v", err, line.Unreachable)
		}
		var kinds []string
		for _, e := range line.Events {
			kinds = append(kinds, e.Kind)
		}
		want := "request enqueue grant settle outcome"
		if got := strings.Join(kinds, " "); got != want {
			t.Errorf("%s: events %q, want %q", d.settings.ID, got, want)
		}
	}
}

// Guards against a publish by a router that takes itself for the whole fleet because the VM list is still empty.
func TestEmptyVMListGivesNoMajority(t *testing.T) {
	f := &testFleet{t: t, list: vmlist.New(vmlist.Options{}), store: kvstore.New(kvstore.Options{})}
	f.stores = serveHandler(t, f.store)
	f.lists = serveHandler(t, f.list)
	f.startDaemon("r1")
	t.Cleanup(f.stopAll)
	d := f.daemons[0]
	f.eventually("reads the list", func() error {
		if f.list.Calls() == 0 {
			return errNotServing
		}
		return nil
	})
	if _, err := (operators{d}).Apply(context.Background(), 0, object.NewSet()); !errors.Is(err, publish.ErrNoQuorum) {
		t.Fatalf("publish without a VM list: %v", err)
	}
	f.publishVMs()
	f.eventually("publishes", func() error {
		_, err := operators{d}.Apply(context.Background(), 0, object.NewSet())
		return err
	})
}
