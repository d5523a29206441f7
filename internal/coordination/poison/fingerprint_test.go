package poison

import (
	"testing"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/relay"
)

// Guards against two different requests that are taken for the same, one of another team included, and against the same
// request that is not recognized.
func TestFingerprintOfDifferentRequests(t *testing.T) {
	g := NewWithT(t)
	identity := func(change func(*RequestIdentity)) RequestIdentity {
		r := RequestIdentity{
			Team: "a", Method: "GET", Host: "h", Target: "/lookup/1?x=2", Prompt: []relay.PromptPart{{ID: 1}, {ID: 2}},
			Body: []byte("body"),
		}
		change(&r)
		return r
	}
	same := identity(func(r *RequestIdentity) { r.Prompt = []relay.PromptPart{{ID: 1, Tokens: 5}, {ID: 2, Tokens: 5}} })
	base := identity(func(*RequestIdentity) {})
	g.Expect(base.Fingerprint()).To(Equal(same.Fingerprint()))
	seen := map[Fingerprint]bool{base.Fingerprint(): true}
	for i, change := range []func(*RequestIdentity){
		func(r *RequestIdentity) { r.Team = "b" },
		func(r *RequestIdentity) { r.Team, r.Method = "aG", "ET" },
		func(r *RequestIdentity) { r.Method = "POST" },
		func(r *RequestIdentity) { r.Host = "other" },
		func(r *RequestIdentity) { r.Target = "/lookup/1?x=3" },
		func(r *RequestIdentity) { r.Prompt = r.Prompt[:1] },
		func(r *RequestIdentity) { r.Prompt = []relay.PromptPart{{ID: 2}, {ID: 1}} },
		func(r *RequestIdentity) { r.Body = []byte("bodY") },
		func(r *RequestIdentity) { r.Body = nil },
	} {
		r := identity(change)
		g.Expect(seen).NotTo(HaveKey(r.Fingerprint()), "change %d", i)
		seen[r.Fingerprint()] = true
	}
}

// Guards against an ID that operators read in a log line or list and cannot use to lift a block.
func TestFingerprintTextIsParsed(t *testing.T) {
	g := NewWithT(t)
	for _, f := range []Fingerprint{PartFingerprint(0xbad), PartFingerprint(1<<64 - 1), {Kind: KindRequest, Hash: 7}} {
		parsed, err := ParseFingerprint(f.String())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(parsed).To(Equal(f))
	}
	for _, text := range []string{"", "request-", "xyz", "request-xyz", "-1", "10000000000000000f"} {
		_, err := ParseFingerprint(text)
		g.Expect(err).To(HaveOccurred(), text)
	}
}
