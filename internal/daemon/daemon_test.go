package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/publish"
	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
	"gooseberrytide.example/gooseberrytide/test/standin/engine"
	"gooseberrytide.example/gooseberrytide/test/standin/kvstore"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Daemon")
}

var _ = Describe("the request path", func() {
	// Guards against requests that succeed only if the ingress router is also the dispatcher.
	It("serves completions through every router", func() {
		f := newTestFleet(3)
		f.publish()
		f.awaitServing()
		want := engine.Text(0, testPrompt, 0, 12)
		for _, d := range f.daemons {
			body := fmt.Sprintf(`{"model":"summary","prompt":%q,"max_tokens":12}`, testPrompt)
			resp, text := f.post(d, "/v1/completions", body, nil)
			Expect(resp).To(HaveHTTPStatus(http.StatusOK), text)
			Expect(resp).To(HaveHTTPHeaderWithValue("Gooseberrytide-Outcome", "completed"))
			Expect(text).To(ContainSubstring(strings.TrimSpace(want)))
		}
	})

	// Guards against a second execution of a non-idempotent call that its caller repeats at another router with the same
	// key.
	It("executes a call once if its key is repeated at another router", func() {
		f := newTestFleet(2)
		f.publish()
		f.awaitServing()
		header := map[string]string{"Idempotency-Key": "call-out-7"}
		_, first := f.post(f.daemons[0], "/v1/services/callout/engineers", "{}", header)
		_, second := f.post(f.daemons[1], "/v1/services/callout/engineers", "{}", header)
		Expect(second).To(Equal(first))
		Expect(f.service.Counts().ByKey).To(HaveKeyWithValue("alarms/call-out-7", 1))
	})

	// Guards against a router that reports itself ready before it knows the dispatchers, and against the only router of a
	// fleet waiting for other routers to answer.
	It("accepts requests as soon as a router is ready", func() {
		f := newTestFleet(1)
		f.publish()
		d := f.daemons[0]
		f.eventually("serves", d.ready)
		resp, text := f.post(d, "/v1/completions", `{"model":"summary","prompt":"p","max_tokens":2}`, nil)
		Expect(resp).To(HaveHTTPStatus(http.StatusOK), text)
	})
})

var _ = Describe("entry addresses", func() {
	// Guards against an answer without the dispatcher's address, and against advertised addresses with port 0.
	It("include the dispatcher of the pool", func() {
		f := newTestFleet(2)
		f.publish()
		f.awaitServing()
		resp, err := http.Get("http://" + f.daemons[0].CallerAddr() + "/v1/addresses?team=alarms&model=summary")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		owner := f.daemons[0].dispatchers(ident.ModelPool("summary"))[0]
		for _, d := range f.daemons {
			_, port, err := net.SplitHostPort(d.CallerAddr())
			Expect(err).NotTo(HaveOccurred())
			Expect(port).NotTo(Equal("0"))
			if d.settings.ID == string(owner) {
				Expect(string(data)).To(ContainSubstring(d.CallerAddr()))
			}
		}
	})
})

var _ = Describe("the timeline", func() {
	// Guards against a timeline that lacks a request's events at the dispatcher or has them out of order.
	It("lists the events of a request from all routers in order", func() {
		f := newTestFleet(3)
		f.publish()
		f.awaitServing()
		resp, _ := f.post(f.daemons[0], "/v1/completions", `{"model":"summary","prompt":"p","max_tokens":2}`, nil)
		id := resp.Header.Get("Gooseberrytide-Request-Id")
		for _, d := range f.daemons {
			line, err := adminBackend{d}.Timeline(context.Background(), admin.TimelineQuery{Request: id, Limit: 100})
			Expect(err).NotTo(HaveOccurred())
			Expect(line.Unreachable).To(BeEmpty())
			var kinds []string
			for _, e := range line.Events {
				kinds = append(kinds, e.Kind)
			}
			Expect(kinds).To(Equal([]string{"request", "enqueue", "grant", "settle", "outcome"}))
		}
	})
})

var _ = Describe("events of one router", func() {
	// Guards against a query without a starting point that returns the oldest kept events instead of the newest ones.
	It("are the newest ones by default", func() {
		f := newTestPlatform()
		f.startDaemon("r1")
		d := f.daemons[0]
		for range 50 {
			d.events.Add(timeline.Event{Kind: timeline.KindRequest})
		}
		line, err := adminBackend{d}.Timeline(context.Background(), admin.TimelineQuery{Limit: 10})
		Expect(err).NotTo(HaveOccurred())
		Expect(line.Events).To(HaveLen(10))
		Expect(line.Events[0].Seq).To(BeNumerically(">", 40))
	})
})

var _ = Describe("the configuration", func() {
	// Guards against a publish by a router that considers itself a majority because the VM list is still empty.
	It("is not published before the VM list names a VM", func() {
		f := newTestPlatform()
		f.startDaemon("r1")
		d := f.daemons[0]
		Eventually(f.vmList.Calls).WithTimeout(conditionTimeout).Should(BeNumerically(">", 0))
		_, err := adminBackend{d}.Apply(context.Background(), 0, object.NewSet())
		Expect(err).To(MatchError(publish.ErrNoQuorum))
		f.publishVMs()
		f.eventually("publishes", func() error {
			_, err := adminBackend{d}.Apply(context.Background(), 0, object.NewSet())
			return err
		})
	})

	// Guards against a router without a configuration that rejects the caller's API key: callers treat that as final.
	It("is required before API keys are checked", func() {
		f := newTestFleet(1)
		resp, body := f.post(f.daemons[0], "/v1/services/callout/engineers", "{}", nil)
		Expect(resp).To(HaveHTTPStatus(http.StatusServiceUnavailable), body)
		Expect(resp).To(HaveHTTPHeaderWithValue("Gooseberrytide-Outcome", "not-run"))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// Guards against a router that uses a stale configuration: it reported that a service does not exist although newer
	// configurations may have it, and claimed keys for calls that it then refused.
	It("is not used while it is stale", func() {
		f := newTestFleet(2)
		f.publish()
		f.awaitServing()
		f.store.SetFaults(kvstore.Faults{Outage: true})
		f.cancels[1]()
		f.eventually("r1 stops serving", func() error {
			if f.daemons[0].ready() == nil {
				return errors.New("still serving")
			}
			return nil
		})
		for _, path := range []string{"/v1/services/unknown/route", "/v1/services/callout/engineers"} {
			resp, body := f.post(f.daemons[0], path, "{}", nil)
			Expect(resp).To(HaveHTTPStatus(http.StatusServiceUnavailable), "%s: %s", path, body)
			Expect(resp).To(HaveHTTPHeaderWithValue("Gooseberrytide-Outcome", "not-run"))
		}
	})
})
