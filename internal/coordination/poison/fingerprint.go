package poison

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/relay"
)

// Kind tells what of a request a Fingerprint identifies.
type Kind uint8

const (
	// KindPart is a shared part of the prompt.
	KindPart Kind = iota + 1
	// KindRequest is the request as a whole.
	KindRequest
)

// requestPrefix begins the text of a fingerprint of KindRequest.
const requestPrefix = "request-"

// Fingerprint identifies something that requests hold and that may crash servers.
type Fingerprint struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Hash uint64
}

// PartFingerprint returns the fingerprint of a part of prompts.
func PartFingerprint(id uint64) Fingerprint { return Fingerprint{Kind: KindPart, Hash: id} }

// RequestIdentity is what makes two requests the same.
type RequestIdentity struct {
	// Team is the caller.
	Team   string
	Method string
	Host   string
	// Target is the path and query.
	Target string
	Prompt []relay.PromptPart
	Body   []byte
}

// Fingerprint returns the fingerprint of the request as a whole. All routers must compute the same one, so the hash has no
// key of the process. It is cryptographic instead, and covers the team, so that no caller can make up a request with the
// fingerprint of another team's request.
func (r *RequestIdentity) Fingerprint() Fingerprint {
	h := sha256.New()
	var number [8]byte
	write := func(n uint64) {
		binary.BigEndian.PutUint64(number[:], n)
		h.Write(number[:])
	}
	for _, field := range []string{r.Team, r.Method, r.Host, r.Target} {
		write(uint64(len(field)))
		h.Write([]byte(field))
	}
	write(uint64(len(r.Prompt)))
	for _, part := range r.Prompt {
		write(part.ID)
	}
	h.Write(r.Body)
	var sum [sha256.Size]byte
	return Fingerprint{Kind: KindRequest, Hash: binary.BigEndian.Uint64(h.Sum(sum[:0]))}
}

// compare orders fingerprints.
func (f Fingerprint) compare(other Fingerprint) int {
	return cmp.Or(cmp.Compare(f.Kind, other.Kind), cmp.Compare(f.Hash, other.Hash))
}

// String returns the ID of a part in hexadecimal, and for a request the hash with a prefix.
func (f Fingerprint) String() string {
	text := strconv.FormatUint(f.Hash, 16)
	if f.Kind == KindRequest {
		return requestPrefix + text
	}
	return text
}

// ParseFingerprint parses the text that String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	f := Fingerprint{Kind: KindPart}
	if rest, ok := strings.CutPrefix(text, requestPrefix); ok {
		f.Kind, text = KindRequest, rest
	}
	hash, err := strconv.ParseUint(text, 16, 64)
	f.Hash = hash
	return f, errors.Wrap(err, "poison: fingerprint")
}
