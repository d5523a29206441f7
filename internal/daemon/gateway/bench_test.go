package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
	"gooseberrytide.example/gooseberrytide/internal/protocol/datagrams"
	"gooseberrytide.example/gooseberrytide/platform"
)

// benchmarkFleet is the number of routers in benchmarks.
const benchmarkFleet = 295

// Measures what a router spends on the report of a router without requests. Each router receives several hundred of them
// a second in a large fleet.
func BenchmarkIdleReport(b *testing.B) {
	n, err := New(&platform.Settings{Router: "own", IP: netip.MustParseAddr("127.0.0.1"), MemoryBytes: 1 << 28}, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	reports := make([]gossip.Report, benchmarkFleet)
	for i := range reports {
		name := fmt.Sprintf("edge-mid-c-%d", i)
		reports[i] = gossip.Report{
			Router: name, Incarnation: 1 << 50, CallerAddress: "10.3.0.120:8468", Domain: "mid-c", Ready: true, Owned: true,
			Cores: 0.192, ConfigVersion: 12, IntervalMS: 1200,
		}
	}
	from := netip.MustParseAddrPort("10.3.0.120:7400")
	seq := uint64(0)
	for b.Loop() {
		seq++
		r := &reports[seq%benchmarkFleet]
		r.Seq = seq
		data, err := datagrams.Encode(r)
		if err != nil {
			b.Fatal(err)
		}
		n.onDatagram(from, data)
	}
}

// Measures the work of each control period in a large fleet.
func BenchmarkControlPeriod(b *testing.B) {
	n, err := New(&platform.Settings{Router: "own", IP: netip.MustParseAddr("127.0.0.1"), MemoryBytes: 1 << 28}, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	for i := range benchmarkFleet {
		n.handleReport(&gossip.Report{
			Router: fmt.Sprintf("edge-mid-c-%d", i), Incarnation: 1, Seq: 1, CallerAddress: "10.3.0.120:8468", Domain: "mid-c",
			Ready: true, Owned: true, Cores: 0.192, IntervalMS: 1200,
		})
	}
	reporter := newReporter(n)
	for name, f := range map[string]func(){
		"owners":     func() { n.owners.updateOwners() },
		"report":     func() { n.newReport() },
		"directory":  func() { n.addresses("mid-c") },
		"relayed":    func() { reporter.sendRelayed(&gossip.Report{}, time.Now(), nil, n.activeRouters(time.Now())) },
		"load":       n.sampleLoad,
		"candidates": func() { n.offload.candidates() },
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				f()
			}
		})
	}
}
