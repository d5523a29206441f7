package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Outcome says what is known about a caller's request.
type Outcome string

// The outcomes of a request.
const (
	// Completed reports a whole answer without an error.
	Completed Outcome = "completed"
	// Failed reports that the backend server answered with an error, or that a stream ended early.
	Failed Outcome = "failed"
	// NotRun reports that the request did not run and cannot run.
	NotRun Outcome = "not-run"
	// Unknown reports that the request was sent and may have run.
	Unknown Outcome = "unknown"
)

const (
	// MaxResultBody is the largest body that a record holds, in bytes. In base64 it stays below the store's
	// value limit of 1 MB.
	MaxResultBody = 512 << 10
	// maxResultHeader is the largest header that a record holds, in bytes.
	maxResultHeader = 32 << 10
	// MaxKeyBytes is the longest idempotency key, in bytes.
	MaxKeyBytes = 256
	// DefaultRetention is how long results are kept when the call does not say.
	DefaultRetention = 24 * time.Hour
)

// Call identifies a call that must run at most once.
type Call struct {
	Service string
	Team    ident.TeamID
	// Key is the idempotency key. It is scoped to the team and the service.
	Key string
	// Fingerprint tells requests apart that use the same key.
	Fingerprint Fingerprint
	// RequestID is the id of the caller's request; it is kept in the record.
	RequestID string
	// Retention is how long the result is kept. 0 means DefaultRetention.
	Retention time.Duration
	// RunUnclaimed asks for an unsettled claim instead of an error while the store is down. The call may then run
	// at several routers, but only once at each that remembers it.
	RunUnclaimed bool
}

// Result is the recorded end of a call.
type Result struct {
	Outcome Outcome     `json:"outcome"`
	Status  int         `json:"status,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	// BodyOmitted says that the answer was too large for the record and only its outcome and status are kept.
	BodyOmitted bool `json:"body_omitted,omitempty"`
	// RequestID is the id of the request that ran the call.
	RequestID string `json:"request_id,omitempty"`
}

// Fingerprint is a digest of a request.
type Fingerprint [sha256.Size]byte

// NewFingerprint digests the parts of a request. The parts' lengths are part of the digest.
func NewFingerprint(parts ...[]byte) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write(p)
	}
	return Fingerprint(h.Sum(nil))
}

// String returns the digest in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// keyPrefix begins the store keys of all claims.
const keyPrefix = "claims/"

// storeKey returns the store key of a call's claim.
func storeKey(c Call) string {
	digest := NewFingerprint([]byte(c.Team), []byte(c.Key))
	return keyPrefix + c.Service + "/" + digest.String()
}

// limited returns the result as it is recorded.
func (r Result) limited() Result { return r.limitedTo(MaxResultBody) }

// limitedTo returns the result without its header and body if one of them exceeds its limit.
func (r Result) limitedTo(body int) Result {
	if len(r.Body) <= body && headerBytes(r.Header) <= maxResultHeader {
		return r
	}
	return r.bare()
}

// bare returns the result without its header and body.
func (r Result) bare() Result {
	r.Header = nil
	r.Body = nil
	r.BodyOmitted = true
	return r
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
