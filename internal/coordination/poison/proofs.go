package poison

import (
	"math"
	"time"
)

// never is a time before all others.
const never time.Duration = math.MinInt64 / 2

const (
	// proofGeneration is the time after which the older half of the proofs is dropped. Proofs are kept for one to two
	// generations.
	proofGeneration = 15 * time.Second
	// maxProofsPerGeneration bounds the memory. Made-up fingerprints shorten the time for which proofs are kept.
	maxProofsPerGeneration = 8192
)

// proofs holds the times of the last proofs of fingerprints.
type proofs struct {
	current, previous map[Fingerprint]time.Duration
	began             time.Duration
}

func newProofs() proofs {
	return proofs{current: make(map[Fingerprint]time.Duration), previous: make(map[Fingerprint]time.Duration)}
}

// record records a proof. now is the current time, at that of the proof.
func (p *proofs) record(now time.Duration, fingerprint Fingerprint, at time.Duration) {
	if now-p.began >= proofGeneration || len(p.current) >= maxProofsPerGeneration {
		p.previous, p.current = p.current, make(map[Fingerprint]time.Duration)
		p.began = now
	}
	if known, ok := p.current[fingerprint]; !ok || at > known {
		p.current[fingerprint] = at
	}
}

// last returns the time of a fingerprint's last proof, or never.
func (p *proofs) last(fingerprint Fingerprint) time.Duration {
	at := never
	if known, ok := p.previous[fingerprint]; ok {
		at = known
	}
	if known, ok := p.current[fingerprint]; ok {
		at = max(at, known)
	}
	return at
}
