package poison

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// FuzzMerge guards against a panic, unbounded memory and senseless verdicts from evidence of another router.
func FuzzMerge(f *testing.F) {
	s := newScenario()
	s.crash(teamA, first, bad, Fingerprint{Kind: KindRequest, Hash: 7})
	s.now += time.Second
	s.crash(teamB, bad)
	seed, err := cbor.Marshal(Evidence{Router: "r", Fingerprints: s.EvidenceOf(s.now, s.Recent(s.now))})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed, uint16(300))
	f.Fuzz(func(t *testing.T, data []byte, step uint16) {
		var m Evidence
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		s := newScenario()
		for range 3 {
			s.Merge(s.now, m.Fingerprints)
			s.now += time.Duration(step) * time.Millisecond
			for i := range m.Fingerprints {
				fingerprint := m.Fingerprints[i].Fingerprint
				v := s.Check(s.now, teamA, []Fingerprint{fingerprint})
				if v.State != Clear && (v.Crashes < 1 || v.Crashes > maxCrashes || v.RetryAfter <= 0 || v.RetryAfter > maxRetryAfter) {
					t.Fatalf("verdict %+v", v)
				}
				s.GrantTrial(s.now, "r", Ask{Team: teamA, Fingerprint: fingerprint})
			}
			s.List(s.now)
			s.RecordProof(s.now, service, []Fingerprint{first})
			s.Expire(s.now)
		}
		if s.Len() > maxSuspects || len(s.trials) > maxTrials || len(s.lifted) > len(m.Fingerprints) {
			t.Fatalf("%d suspects, %d trials, %d lifted", s.Len(), len(s.trials), len(s.lifted))
		}
		for _, suspect := range s.suspects {
			for _, c := range suspect.crashes {
				if len(c.teams) > maxTeams || len(c.others) > maxOthers || len(c.companions) > maxPartsPerRequest+1 {
					t.Fatalf("crash %+v", c)
				}
			}
		}
	})
}
