package poison

import (
	"cmp"
	"slices"
	"time"
)

// Evidence tells another router what the sender knows about some fingerprints. Ages are in milliseconds at the time of
// sending.
type Evidence struct {
	_            struct{} `cbor:",toarray"`
	Router       string
	Fingerprints []FingerprintEvidence
}

// FingerprintEvidence is the evidence about one fingerprint.
type FingerprintEvidence struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	Service     string
	// Path is the path of the request if the fingerprint is that of a whole request.
	Path    string
	Crashes []CrashEvidence
	// ProofAge is the age of the last proof, or -1 if there is none.
	ProofAge int64
	// Lifted is set if the proof ends the suspicion for good: a proof after several crashes, or an operator's order.
	Lifted bool
	// Control is set if a request without the fingerprint was proven at the service.
	Control bool
	// RequestAge is the age of the last request with the fingerprint.
	RequestAge int64
}

// CrashEvidence is a crash that counts against a fingerprint.
type CrashEvidence struct {
	_         struct{} `cbor:",toarray"`
	Server    string
	StartedAt int64
	Address   string
	Age       int64
	// Span is the time after that in which the server ended.
	Span       int64
	Teams      []string
	Companions []Fingerprint
	Others     []Fingerprint
}

// TrialRequest asks the owner of a fingerprint for the next trial.
type TrialRequest struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Router string
	Ask    Ask
}

// TrialAnswer answers a TrialRequest.
type TrialAnswer struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Granted bool
}

// TrialEnd tells the owner of a fingerprint that a trial has ended.
type TrialEnd struct {
	_           struct{} `cbor:",toarray"`
	Router      string
	Fingerprint Fingerprint
	// Sent is set if the request was sent.
	Sent bool
}

const (
	// gossipAge is the age of the last crash up to which a suspected fingerprint is sent again and again. Blocked
	// fingerprints are sent as long as they are blocked.
	gossipAge = 20 * time.Second
	// maxGossiped is the number of fingerprints that are sent again and again, those with the most crashes first.
	maxGossiped = 16
	// maxMessageBytes is the size up to which fingerprints are put into one message. Larger datagrams would be fragmented.
	maxMessageBytes = 1200
)

// EvidenceOf returns the evidence about fingerprints. Fingerprints without evidence are left out.
func (d *Detector) EvidenceOf(now time.Duration, fingerprints []Fingerprint) []FingerprintEvidence {
	var list []FingerprintEvidence
	for _, fingerprint := range fingerprints {
		if e, ok := d.evidenceOf(now, fingerprint); ok {
			list = append(list, e)
		}
	}
	return list
}

func (d *Detector) evidenceOf(now time.Duration, fingerprint Fingerprint) (FingerprintEvidence, bool) {
	e := FingerprintEvidence{Fingerprint: fingerprint, ProofAge: -1, RequestAge: -1}
	if at := d.lastProof(fingerprint); at != never {
		e.ProofAge = (now - at).Milliseconds()
	}
	lifted, isLifted := d.lifted[fingerprint]
	e.Lifted = isLifted && lifted == d.lastProof(fingerprint)
	s := d.suspects[fingerprint]
	if s == nil {
		return e, e.ProofAge >= 0
	}
	e.Service, e.Path, e.Control = s.service, s.path, d.hasControl(s)
	e.RequestAge = (now - s.lastRequested).Milliseconds()
	for _, c := range s.crashes {
		e.Crashes = append(e.Crashes, CrashEvidence{
			Server: c.server, StartedAt: c.startedAt, Address: c.address, Age: (now - c.at).Milliseconds(),
			Span: c.span.Milliseconds(), Teams: c.teams,
			Companions: c.companions, Others: c.others,
		})
	}
	return e, true
}

// Recent returns the fingerprints whose evidence is sent again and again, so that routers learn it that missed it before.
func (d *Detector) Recent(now time.Duration) []Fingerprint {
	var list []*suspect
	for _, s := range d.suspects {
		if now-s.lastCrash() <= gossipAge || d.blocked(s) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(b.lastCrash(), a.lastCrash()),
			a.fingerprint.compare(b.fingerprint))
	})
	var fingerprints []Fingerprint
	for _, s := range list[:min(len(list), maxGossiped)] {
		fingerprints = append(fingerprints, s.fingerprint)
	}
	for fingerprint, at := range d.lifted {
		if now-at <= gossipAge && d.suspects[fingerprint] == nil && len(fingerprints) < 2*maxGossiped {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

// Merge adds another router's evidence. It returns the fingerprints that it cleared, and the fingerprints for which this
// router has a proof that the sender lacks.
func (d *Detector) Merge(now time.Duration, list []FingerprintEvidence) (cleared, refuted []Fingerprint) {
	for i := range list {
		e := &list[i]
		if e.Fingerprint.Kind != KindPart && e.Fingerprint.Kind != KindRequest {
			continue // of a newer router
		}
		if e.ProofAge >= 0 && d.mergeProof(now, e) {
			cleared = append(cleared, e.Fingerprint)
		}
		if d.mergeCrashes(now, e) {
			refuted = append(refuted, e.Fingerprint)
		}
	}
	return cleared, refuted
}

// mergeProof reports whether the proof of another router clears a fingerprint.
func (d *Detector) mergeProof(now time.Duration, e *FingerprintEvidence) bool {
	at := now - age(e.ProofAge)
	if now-at <= 2*proofGeneration {
		d.proofs.record(now, e.Fingerprint, at)
	}
	if e.Lifted && now-at <= retention {
		d.lifted[e.Fingerprint] = max(d.lifted[e.Fingerprint], at)
	}
	return d.clear(e.Fingerprint, at)
}

// mergeCrashes reports whether a proof of this router refutes a crash.
func (d *Detector) mergeCrashes(now time.Duration, e *FingerprintEvidence) bool {
	refuted := false
	for _, c := range e.Crashes {
		at := now - age(c.Age)
		if at <= d.lastProof(e.Fingerprint)+proofWindow {
			refuted = true
			continue
		}
		d.addCrash(now, e.Fingerprint, e.Service, crash{
			server: c.Server, startedAt: c.StartedAt, address: c.Address, at: at,
			span:       min(max(time.Duration(c.Span)*time.Millisecond, 0), maxEndSpan),
			teams:      slices.Sorted(slices.Values(c.Teams[:min(len(c.Teams), maxTeams)])),
			companions: c.Companions[:min(len(c.Companions), maxPartsPerRequest+1)],
			others:     c.Others[:min(len(c.Others), maxOthers)],
		})
	}
	s := d.suspects[e.Fingerprint]
	if s == nil {
		return refuted
	}
	s.control = s.control || e.Control
	if s.path == "" {
		s.path = boundedPath(e.Path)
	}
	if e.RequestAge >= 0 {
		s.lastRequested = max(s.lastRequested, now-age(e.RequestAge))
	}
	return refuted
}

// age returns an age that another router states, which is not below 0.
func age(ms int64) time.Duration {
	return min(max(time.Duration(ms), 0), time.Duration(retention/time.Millisecond)*10) * time.Millisecond
}

// Split divides evidence into messages that fit a datagram.
func Split(router string, fingerprints []FingerprintEvidence) []Evidence {
	var messages []Evidence
	size := 0
	for _, fingerprint := range fingerprints {
		bytes := fingerprint.size()
		if len(messages) == 0 || size+bytes > maxMessageBytes {
			messages = append(messages, Evidence{Router: router})
			size = 0
		}
		last := &messages[len(messages)-1]
		last.Fingerprints = append(last.Fingerprints, fingerprint)
		size += bytes
	}
	return messages
}

// size returns about the number of bytes that the fingerprint takes in a message.
func (e *FingerprintEvidence) size() int {
	const fixed, fixedPerCrash, perFingerprint = 40, 30, 11
	size := fixed + len(e.Service) + len(e.Path)
	for _, c := range e.Crashes {
		size += fixedPerCrash + len(c.Server) + len(c.Address) + perFingerprint*(len(c.Companions)+len(c.Others))
		for _, team := range c.Teams {
			size += 1 + len(team)
		}
	}
	return size
}
