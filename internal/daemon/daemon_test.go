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

var _ = Describe("the whole path", func() {
	// Guards against a path that works only where the ingress is the dispatcher.
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

	// Guards against a second run of a non-idempotent call whose caller asks again at another router.
	It("runs a key once that is repeated at another router", func() {
		f := newTestFleet(2)
		f.publish()
		f.awaitServing()
		header := map[string]string{"Idempotency-Key": "call-out-7"}
		_, first := f.post(f.daemons[0], "/v1/services/callout/engineers", "{}", header)
		_, second := f.post(f.daemons[1], "/v1/services/callout/engineers", "{}", header)
		Expect(second).To(Equal(first))
		Expect(f.service.Counts().ByKey).To(HaveKeyWithValue("alarms/call-out-7", 1))
	})

	// Guards against a router that reports itself ready before it knows the dispatchers, and against a fleet of one
	// router that waits for answers of others.
	It("takes requests as soon as it reports that it serves", func() {
		f := newTestFleet(1)
		f.publish()
		d := f.daemons[0]
		f.eventually("serves", d.ready)
		resp, text := f.post(d, "/v1/completions", `{"model":"summary","prompt":"p","max_tokens":2}`, nil)
		Expect(resp).To(HaveHTTPStatus(http.StatusOK), text)
	})
})

var _ = Describe("entry addresses", func() {
	// Guards against routers without addresses to name, and against malformed addresses.
	It("name the dispatcher of the pool", func() {
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

var _ = Describe("the time line", func() {
	// Guards against a time line that misses the part of a request at its dispatcher or puts it out of order.
	It("covers all routers of a request in order", func() {
		f := newTestFleet(3)
		f.publish()
		f.awaitServing()
		resp, _ := f.post(f.daemons[0], "/v1/completions", `{"model":"summary","prompt":"p","max_tokens":2}`, nil)
		id := resp.Header.Get("Gooseberrytide-Request-Id")
		for _, d := range f.daemons {
			line, err := operators{d}.Timeline(context.Background(), admin.TimelineQuery{Request: id, Limit: 100})
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
	// Guards against a time line that shows a night's first events when an operator asks what happens now.
	It("begin with the newest ones", func() {
		f := newTestPlatform()
		f.startDaemon("r1")
		d := f.daemons[0]
		for range 50 {
			d.events.Add(timeline.Event{Kind: timeline.KindRequest})
		}
		line, err := operators{d}.Timeline(context.Background(), admin.TimelineQuery{Limit: 10})
		Expect(err).NotTo(HaveOccurred())
		Expect(line.Events).To(HaveLen(10))
		Expect(line.Events[0].Seq).To(BeNumerically(">", 40))
	})
})

var _ = Describe("the configuration", func() {
	// Guards against a publish by a router that takes itself for the whole fleet because the VM list is still empty.
	It("is not published before the VM list names a VM", func() {
		f := newTestPlatform()
		f.startDaemon("r1")
		d := f.daemons[0]
		Eventually(f.list.Calls).WithTimeout(wait).Should(BeNumerically(">", 0))
		_, err := operators{d}.Apply(context.Background(), 0, object.NewSet())
		Expect(err).To(MatchError(publish.ErrNoQuorum))
		f.publishVMs()
		f.eventually("publishes", func() error {
			_, err := operators{d}.Apply(context.Background(), 0, object.NewSet())
			return err
		})
	})

	// Guards against a router without a configuration that blames the caller's key, which callers take for a final
	// refusal.
	It("is needed before keys are judged", func() {
		f := newTestFleet(1)
		resp, body := f.post(f.daemons[0], "/v1/services/callout/engineers", "{}", nil)
		Expect(resp).To(HaveHTTPStatus(http.StatusServiceUnavailable), body)
		Expect(resp).To(HaveHTTPHeaderWithValue("Gooseberrytide-Outcome", "not-run"))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// Guards against a stale router that answers from its configuration: it said that a service does not exist which
	// others may know, and claimed keys for calls that it then refused.
	It("is not answered from while it is stale", func() {
		f := newTestFleet(2)
		f.publish()
		f.awaitServing()
		f.store.SetFaults(kvstore.Faults{Outage: true})
		f.stops[1]()
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
