package datagrams

import (
	"testing"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverdrain"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverlimit"
	"gooseberrytide.example/gooseberrytide/internal/coordination/warmup"
)

// Guards against messages that another router cannot decode or decodes to something else, and against encoding
// unsupported types.
func TestMessagesRoundTrip(t *testing.T) {
	g := NewWithT(t)
	load := engineload.Load{Running: 1, PendingTokens: 2, ContextTokens: 3}
	limit := serverlimit.Entry{Server: "e", StartedAt: 5, Rate: 4.8, SinceAgeMS: 900, SentAgeMS: 30, ReceivedAgeMS: 10}
	messages := []any{
		&gossip.Report{Router: "r", Incarnation: 1, Seq: 2, Totals: []reservation.ServerLoad{{Server: "e", Load: load}},
			Draining: []serverdrain.Incarnation{{Server: "e", StartedAt: 5}}},
		reservation.Request{ID: 7, Router: "r", Server: "e", Load: load, Own: load,
			Limits: reservation.Limits{Running: 4, PendingTokens: -1, ContextTokens: 9}},
		reservation.CapacityNotice{Server: "e", Total: load},
		reservation.Answer{ID: 7, Granted: true, Total: load},
		gossip.Presence{Sightings: []gossip.Sighting{{AgeMS: 100, ConfigVersion: 3, Rate: 7, Busy: true,
			Routers: []gossip.PresenceKey{1, 1 << 31}}}},
		reservation.Denial{ID: 7, Router: "r", Server: serverdrain.Incarnation{Server: "e", StartedAt: 5}},
		reservation.DrainNotice{Router: "r", Server: serverdrain.Incarnation{Server: "e", StartedAt: 5}},
		poison.Evidence{Router: "r", Fingerprints: []poison.FingerprintEvidence{{
			Fingerprint: poison.PartFingerprint(1 << 63), Service: "s", Path: "/p", ProofAge: -1, Lifted: true, Control: true,
			RequestAge: 5, Crashes: []poison.CrashEvidence{{
				Server: "e", StartedAt: 5, Address: "h:1", Age: 9, Teams: []string{"t"},
				Companions: []poison.Fingerprint{poison.PartFingerprint(2)},
				Others:     []poison.Fingerprint{{Kind: poison.KindRequest, Hash: 4}},
			}},
		}}},
		poison.TrialRequest{ID: 7, Router: "r", Ask: poison.Ask{Team: "t", Fingerprint: poison.PartFingerprint(3), Alone: true}},
		poison.TrialAnswer{ID: 7, Granted: true},
		poison.TrialEnd{Router: "r", Fingerprint: poison.PartFingerprint(3), Sent: true},
		reservation.PermitRequest{ID: 7, Router: "r", Limit: limit},
		reservation.YieldingPermitRequest{Request: reservation.PermitRequest{ID: 7, Router: "r", Limit: limit}},
		reservation.PermitAnswer{ID: 7, Granted: true, RetryMS: 200, Total: load, Limit: limit},
		reservation.PermitReturn{Server: "e", StartedAt: 5, Count: 2},
		reservation.LimitNotice{Router: "r", Limits: []serverlimit.Entry{limit, {Server: "f", Ended: true}}},
		reservation.WarmupNotice{Router: "r", Warmups: []warmup.Report{{
			Server: "e", StartedAt: 5, Source: warmup.Return, LeftMS: 3000,
		}}},
		reservation.Loads{Router: "r", Parts: []reservation.ServerLoad{{Server: "e", Load: load}}},
	}
	for _, m := range messages {
		data, err := Encode(m)
		g.Expect(err).NotTo(HaveOccurred())
		decoded, err := Decode(data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decoded).To(Equal(m))
	}
	_, err := Encode("text")
	g.Expect(err).To(HaveOccurred())
}

// Guards against a request for a permit that owners of an older version cannot decode.
func TestPermitRequestKeepsItsEncoding(t *testing.T) {
	g := NewWithT(t)
	r := reservation.PermitRequest{ID: 7, Router: "r", Limit: serverlimit.Entry{Server: "e"}}
	before, err := Encode(r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(before[:2]).To(Equal([]byte{byte(kindPermitRequest), 0x83}), "an array of three fields")
	r.Yields = true
	after, err := Encode(r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after).To(Equal(before))
}

// FuzzDecode guards against a panic on a truncated or malformed datagram.
func FuzzDecode(f *testing.F) {
	data, err := Encode(reservation.Answer{ID: 7, Granted: true})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Add([]byte{1, 0xa0})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Decode(data) // must not panic
	})
}
