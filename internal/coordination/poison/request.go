package poison

import (
	"strings"
	"sync"
	"sync/atomic"

	"gooseberrytide.example/gooseberrytide/internal/state/relay"
)

// maxHashedBytes is the size of a body up to which the proof of a request is recorded for the request as a whole also
// while nothing is suspected. The hash of a larger body would take a measurable part of the time of a request.
const maxHashedBytes = 1 << 10

// Request is a request of a client with its fingerprints. It is safe for concurrent use.
type Request struct {
	identity RequestIdentity
	// parts are the fingerprints of the shared parts of the prompt.
	parts []Fingerprint
	// all are those and the fingerprint of the request as a whole, after once has run.
	once sync.Once
	all  []Fingerprint
	done atomic.Bool
}

// NewRequest returns a request. The fingerprint of the whole request is computed when it is needed.
func NewRequest(identity RequestIdentity) *Request {
	r := &Request{identity: identity}
	shared := relay.SharedParts(identity.Prompt)
	if len(shared) > 0 {
		r.parts = make([]Fingerprint, min(len(shared), maxPartsPerRequest))
		for i := range r.parts {
			r.parts[i] = PartFingerprint(shared[i].ID)
		}
	}
	return r
}

// Fingerprint returns the fingerprint of the request as a whole.
func (r *Request) Fingerprint() Fingerprint {
	all := r.fingerprints()
	return all[len(all)-1]
}

// fingerprints returns the fingerprints of the parts, and then that of the whole request.
func (r *Request) fingerprints() []Fingerprint {
	r.once.Do(func() {
		r.all = append(make([]Fingerprint, 0, len(r.parts)+1), r.parts...)
		r.all = append(r.all, r.identity.Fingerprint())
		r.done.Store(true)
	})
	return r.all
}

// proofFingerprints returns the fingerprints for which a proof of the request is recorded.
func (r *Request) proofFingerprints(suspects bool) []Fingerprint {
	if suspects || r.done.Load() || len(r.identity.Body) <= maxHashedBytes {
		return r.fingerprints()
	}
	return r.parts
}

// candidate returns the request as a possible cause of a crash.
func (r *Request) candidate() Candidate {
	path, _, _ := strings.Cut(r.identity.Target, "?")
	return Candidate{Team: r.identity.Team, Path: boundedPath(path), Fingerprints: r.fingerprints()}
}

// boundedPath returns the beginning of a path as valid UTF-8, which messages between routers need. A request target may have
// any bytes.
func boundedPath(path string) string {
	return strings.ToValidUTF8(path[:min(len(path), maxPathBytes)], "?")
}
