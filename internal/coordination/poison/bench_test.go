package poison

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

// benchmarkGuard returns a guard in real time with a number of suspects.
func benchmarkGuard(suspects int) *Guard {
	began := time.Now()
	g := NewGuard(Options{
		Clock:     func() time.Duration { return start + time.Since(began) },
		Probe:     func(context.Context, *backends.Server) ServerState { return ServerAlive },
		OnCrash:   func(*backends.Server, int, []Fingerprint) {},
		OnCleared: func([]Fingerprint) {},
	})
	for i := range suspects {
		g.detector.RecordCrash(start, CrashReport{
			Server: "i", Service: service, Address: "a", At: start,
			Requests: []Candidate{{Team: teamA, Fingerprints: []Fingerprint{{Kind: KindRequest, Hash: uint64(i)}}}},
		})
	}
	g.countSuspects()
	return g
}

// BenchmarkRequest measures what following a request adds to it, by the size of its body and the number of suspects.
func BenchmarkRequest(b *testing.B) {
	for _, suspects := range []int{0, 100} {
		for _, size := range []int{0, 1 << 10, 72 << 10} {
			b.Run(fmt.Sprintf("%d suspects, %d bytes", suspects, size), func(b *testing.B) {
				g := benchmarkGuard(suspects)
				server := testServer("i-1")
				body := make([]byte, size)
				b.ReportAllocs()
				for b.Loop() {
					r := NewRequest(RequestIdentity{Team: teamA, Method: "POST", Host: "h", Target: "/lookup/x", Body: body})
					g.Check(r)
					g.Begin(server, r).Complete()
				}
			})
		}
	}
}
