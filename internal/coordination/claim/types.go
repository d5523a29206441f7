package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Outcome is what is known about the execution of a caller's request.
type Outcome string

// The outcomes of a request.
const (
	// Completed reports a complete response without an error.
	Completed Outcome = "completed"
	// Failed reports that the backend server returned an error, or that a stream ended early.
	Failed Outcome = "failed"
	// NotRun reports that the request did not run and cannot run.
	NotRun Outcome = "not-run"
	// Unknown reports that the request was sent and may have run.
	Unknown Outcome = "unknown"
)

const (
	// MaxResultBody is the largest body that a record holds, in bytes. Encoded in base64 it stays below the store's
	// value limit of 1 MB.
	MaxResultBody = 512 << 10
	// maxResultHeader is the largest header that a record holds, in bytes.
	maxResultHeader = 32 << 10
	// MaxKeyBytes is the longest idempotency key, in bytes.
	MaxKeyBytes = 256
	// DefaultRetention is how long results are kept when the call sets no retention.
	DefaultRetention = 24 * time.Hour
)

// Call identifies a call that must run at most once.
type Call struct {
	Service string
	Team    ident.TeamID
	// Key is the idempotency key. It is scoped to the team and the service.
	Key string
	// Fingerprint distinguishes different requests that use the same key.
	Fingerprint Fingerprint
	// RequestID is the id of the caller's request; it is stored in the record.
	RequestID string
	// Retention is how long the result is kept. 0 means DefaultRetention.
	Retention time.Duration
	// RunOnStoreOutage requests an unconfirmed claim instead of an error while the store is down. The call may then run
	// at several routers, but only once at each router that still has it in memory.
	RunOnStoreOutage bool
}

// Result is the recorded outcome and response of a call.
type Result struct {
	Outcome Outcome     `json:"outcome"`
	Status  int         `json:"status,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	// BodyOmitted reports that the response was too large to keep, and that only its outcome and status are kept.
	BodyOmitted bool `json:"body_omitted,omitempty"`
	// RequestID is the id of the request that ran the call.
	RequestID string `json:"request_id,omitempty"`
}

// Fingerprint is the SHA-256 digest of a request.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the digest of the parts of a request. It covers the length of each part, so that moving bytes
// from one part to the next changes it.
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

// keyPrefix is the common prefix of the store keys of all claims.
const keyPrefix = "claims/"

// storeKey returns the store key of a call's claim.
func storeKey(c Call) string {
	digest := NewFingerprint([]byte(c.Team), []byte(c.Key))
	return keyPrefix + c.Service + "/" + digest.String()
}

// forRecord returns the result as it is stored in a record: without header and body if one of them is too large.
func (r Result) forRecord() Result { return r.withBodyLimit(MaxResultBody) }

// withBodyLimit returns the result, without header and body if the body exceeds maxBody bytes or the header
// maxResultHeader.
func (r Result) withBodyLimit(maxBody int) Result {
	if len(r.Body) <= maxBody && headerBytes(r.Header) <= maxResultHeader {
		return r
	}
	return r.withoutBody()
}

// withoutBody returns the result without its header and body.
func (r Result) withoutBody() Result {
	r.Header = nil
	r.Body = nil
	r.BodyOmitted = true
	return r
}

// headerBytes returns the total size of the names and values of a header, in bytes.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
