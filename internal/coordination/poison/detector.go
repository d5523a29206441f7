package poison

import (
	"cmp"
	"slices"
	"time"
)

// State is what is known about a fingerprint.
type State uint8

const (
	// Clear means that nothing speaks against the fingerprint.
	Clear State = iota
	// Suspected means that requests with the fingerprint are sent as trials only.
	Suspected
	// Blocked means that requests with the fingerprint are not sent.
	Blocked
)

const (
	// blockPeriod is the time from the last crash to the first trial of a blocked fingerprint. It doubles with each further
	// crash, up to maxRetrials.
	blockPeriod = 2 * time.Minute
	maxRetrials = 3
	// separablePeriod is that time for a request without the other fingerprints that may be the cause. It doubles, too, and
	// applies up to separableRetrials.
	separablePeriod   = 10 * time.Second
	separableRetrials = 2
	// settleTime is the time in which the whole fleet learns of a crash and requests that were sent before it arrive.
	settleTime = 3 * time.Second
	// idlePeriod is the time without requests with the fingerprint after which it is tried again in any case.
	idlePeriod = time.Hour
	// retention is how long a suspected fingerprint is kept after its last crash.
	retention = 10 * time.Minute
	// maxSuspects bounds the table. Fingerprints with few and old crashes are dropped first.
	maxSuspects = 1024
	// maxPartsPerRequest bounds the parts of a prompt that are candidates.
	maxPartsPerRequest = 16
	// maxPathBytes bounds the path of a request that is kept for operators.
	maxPathBytes = 128
	// maxRetryAfter is the longest time after which a client with a blocked fingerprint is told to return, and
	// trialRetryAfter the time for a fingerprint whose trial is in progress.
	maxRetryAfter   = 30 * time.Second
	trialRetryAfter = time.Second
)

// Verdict tells whether a request may be sent, and why not.
type Verdict struct {
	State State
	// Fingerprint is the one that decided. It is the zero value if State is Clear.
	Fingerprint Fingerprint
	// PartSuspected is set if a part of the prompt is suspected or blocked, whether it has decided or not.
	PartSuspected bool
	// Alone is set if no other fingerprint of the request has severalCrashes, so that a trial of the request says much about
	// this one.
	Alone bool
	// Crashes is the number of crashes that count against the fingerprint, Servers the servers that ended, Since the time
	// since the first crash.
	Crashes int
	Servers []string
	Since   time.Duration
	// RetryAfter is the time after which the client may return if the request is not sent.
	RetryAfter time.Duration
}

// CrashReport describes the end of a server as one router saw it.
type CrashReport struct {
	Server    string
	StartedAt int64
	Address   string
	Service   string
	// At is the earliest time of the end, Span the time after it in which the server ended.
	At   time.Duration
	Span time.Duration
	// Requests are those on the server that had just begun.
	Requests []Candidate
}

// Candidate is a request that may have crashed a server.
type Candidate struct {
	Team string
	// Path is the path of the request.
	Path         string
	Fingerprints []Fingerprint
}

// Detector holds the evidence. It is not safe for concurrent use. Times are those of a clock that includes suspension.
type Detector struct {
	proofs proofs
	// controls holds the time of the last proof of any request, by service.
	controls map[string]time.Duration
	suspects map[Fingerprint]*suspect
	// lifted holds the times at which blocks ended, so that old evidence of other routers does not renew them.
	lifted map[Fingerprint]time.Duration
	trials map[Fingerprint]trial
}

// NewDetector returns a detector without evidence.
func NewDetector() *Detector {
	return &Detector{
		proofs:   newProofs(),
		controls: make(map[string]time.Duration),
		suspects: make(map[Fingerprint]*suspect),
		lifted:   make(map[Fingerprint]time.Duration),
		trials:   make(map[Fingerprint]trial),
	}
}

// Len returns the number of fingerprints with evidence.
func (d *Detector) Len() int { return len(d.suspects) }

// Check returns the verdict on a request. Of several fingerprints the one with the most crashes decides. If a part has no
// more crashes than the whole request, the latter decides: a trial of it says nothing about the part, which other requests
// can be tried for meanwhile.
func (d *Detector) Check(now time.Duration, team string, fingerprints []Fingerprint) Verdict {
	var worst Verdict
	partSuspected := false
	for _, fingerprint := range fingerprints {
		s := d.suspects[fingerprint]
		if s == nil {
			continue
		}
		v := d.verdict(now, s, team, fingerprints)
		s.lastRequested = max(s.lastRequested, now)
		partSuspected = partSuspected || fingerprint.Kind == KindPart && v.State != Clear
		if v.exceeds(worst) {
			worst = v
		}
	}
	worst.PartSuspected = partSuspected
	worst.Alone = !slices.ContainsFunc(fingerprints, func(f Fingerprint) bool {
		s := d.suspects[f]
		return f != worst.Fingerprint && s != nil && len(s.crashes) >= severalCrashes
	})
	return worst
}

// exceeds reports whether the verdict decides over another one on the same request.
func (v *Verdict) exceeds(other Verdict) bool {
	switch {
	case v.State != other.State:
		return v.State > other.State
	case v.Crashes != other.Crashes:
		return v.Crashes > other.Crashes
	default:
		return v.Fingerprint.Kind > other.Fingerprint.Kind
	}
}

// verdict returns the verdict on a request because of one of its fingerprints.
func (d *Detector) verdict(now time.Duration, s *suspect, team string, fingerprints []Fingerprint) Verdict {
	if !s.suspected() {
		return Verdict{}
	}
	v := Verdict{
		State: Suspected, Fingerprint: s.fingerprint, Crashes: len(s.crashes), Since: now - s.crashes[0].at, RetryAfter: trialRetryAfter,
	}
	for _, c := range s.crashes {
		v.Servers = append(v.Servers, c.server)
	}
	if !d.blocked(s) || !s.appliesTo(team) {
		return v
	}
	separable := d.separable(s, fingerprints)
	if separable && len(s.crashes) < manyCrashes {
		return v
	}
	if wait := s.retrialAt(separable) - now; wait > 0 {
		v.State = Blocked
		v.RetryAfter = min(wait, maxRetryAfter)
	}
	return v
}

// blocked reports whether the evidence suffices to block a fingerprint.
func (d *Detector) blocked(s *suspect) bool {
	if s.retrials() >= maxRetrials {
		return true
	}
	required := minCrashes
	if s.provenBefore() {
		required++
	}
	crashes := d.unexplained(s)
	n := moments(crashes)
	if len(crashes) < required || n < 2 || addresses(crashes) < 2 && n < manyMoments {
		return false
	}
	return d.hasControl(s) || len(crashes) >= manyCrashes && n >= manyMoments
}

// unexplained returns the crashes of a suspect that nothing else on the server explains.
func (d *Detector) unexplained(s *suspect) []crash {
	explained := func(c crash) bool {
		return slices.ContainsFunc(c.others, func(f Fingerprint) bool { return d.explains(f, s) }) ||
			slices.ContainsFunc(c.companions, func(f Fingerprint) bool { return f.Kind == KindRequest && d.explains(f, s) })
	}
	if !slices.ContainsFunc(s.crashes, explained) {
		return s.crashes
	}
	return slices.DeleteFunc(slices.Clone(s.crashes), explained)
}

// explains reports whether a fingerprint is a better explanation than a suspect for a crash with both on the server: it has
// more crashes, or as many and is that of a whole request, while the suspect is a part, which more requests have.
func (d *Detector) explains(f Fingerprint, s *suspect) bool {
	other := d.suspects[f]
	if other == nil {
		return false
	}
	return len(other.crashes) > len(s.crashes) || len(other.crashes) == len(s.crashes) && f.Kind > s.fingerprint.Kind
}

// hasControl reports whether a request without the fingerprint was proven at the service after the first crash. A request
// with the fingerprint would have cleared it.
func (d *Detector) hasControl(s *suspect) bool {
	return s.control || d.controlSince(s, s.crashes[0].at)
}

// controlSince reports whether this router has proven a request at the suspect's service after a time.
func (d *Detector) controlSince(s *suspect, since time.Duration) bool {
	at, ok := d.controls[s.service]
	return ok && at > since
}

// separable reports whether fingerprints that the request does not have may be the cause in place of a blocked one. That
// is the case if one whole request was in all crashes, or if in each crash another part without a proof was in the same
// request, or in another one on the server. The request then tells which of them is the cause.
func (d *Detector) separable(s *suspect, fingerprints []Fingerprint) bool {
	if s.fingerprint.Kind == KindRequest {
		return false // equal requests have the same parts
	}
	elsewhere := func(kind Kind) func(Fingerprint) bool {
		return func(f Fingerprint) bool {
			return f.Kind == kind && d.suspects[f] != nil && !slices.Contains(fingerprints, f)
		}
	}
	common := s.crashes[0].companions
	for _, c := range s.crashes[1:] {
		common = intersection(common, c.companions)
	}
	if slices.ContainsFunc(common, elsewhere(KindRequest)) {
		return true
	}
	return !slices.ContainsFunc(s.crashes, func(c crash) bool {
		return !slices.ContainsFunc(c.companions, elsewhere(KindPart)) && !slices.ContainsFunc(c.others, elsewhere(KindPart))
	})
}

// retrialAt returns the time from which a request with a blocked fingerprint is sent as a trial. separable is set for a
// request without the other fingerprints that may be the cause.
func (s *suspect) retrialAt(separable bool) time.Duration {
	retrials := s.retrials()
	if retrials >= maxRetrials {
		return max(s.lastCrash(), s.lastRequested) + idlePeriod
	}
	if separable && retrials < separableRetrials {
		return s.lastCrash() + separablePeriod<<retrials
	}
	return s.lastCrash() + blockPeriod<<retrials
}

// RecordCrash records a crash that this router saw. It returns the fingerprints against which it is new evidence.
func (d *Detector) RecordCrash(now time.Duration, r CrashReport) []Fingerprint {
	var changed []Fingerprint
	known := d.knownSuspects(r.Requests)
	for _, request := range r.Requests {
		unproven := d.unproven(request.Fingerprints, r.At)
		others := without(known, request.Fingerprints...)
		for _, fingerprint := range unproven {
			c := crash{
				server: r.Server, startedAt: r.StartedAt, address: r.Address, at: r.At, span: r.Span,
				teams:      []string{request.Team},
				companions: without(unproven, fingerprint), others: others[:min(len(others), maxOthers)],
			}
			if !d.addCrash(now, fingerprint, r.Service, c) {
				continue
			}
			if fingerprint.Kind == KindRequest {
				d.suspects[fingerprint].path = request.Path
			}
			if !slices.Contains(changed, fingerprint) {
				changed = append(changed, fingerprint)
			}
		}
	}
	return changed
}

// knownSuspects returns the fingerprints of requests that are suspects already, those with the most crashes first.
func (d *Detector) knownSuspects(requests []Candidate) []Fingerprint {
	var list []Fingerprint
	for _, request := range requests {
		for _, f := range request.Fingerprints {
			if d.suspects[f] != nil && !slices.Contains(list, f) {
				list = append(list, f)
			}
		}
	}
	slices.SortFunc(list, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(len(d.suspects[b].crashes), len(d.suspects[a].crashes)), a.compare(b))
	})
	return list
}

// unproven returns the fingerprints for which no proof covers a time.
func (d *Detector) unproven(fingerprints []Fingerprint, at time.Duration) []Fingerprint {
	var list []Fingerprint
	for _, fingerprint := range fingerprints {
		if !slices.Contains(list, fingerprint) && at > d.lastProof(fingerprint)+proofWindow {
			list = append(list, fingerprint)
		}
	}
	slices.SortFunc(list, Fingerprint.compare)
	return list
}

func without(fingerprints []Fingerprint, removed ...Fingerprint) []Fingerprint {
	return slices.DeleteFunc(slices.Clone(fingerprints), func(f Fingerprint) bool { return slices.Contains(removed, f) })
}

// lastProof returns the time of the last proof of a fingerprint, or of the end of its block.
func (d *Detector) lastProof(fingerprint Fingerprint) time.Duration {
	at := d.proofs.last(fingerprint)
	if lifted, ok := d.lifted[fingerprint]; ok {
		at = max(at, lifted)
	}
	if s := d.suspects[fingerprint]; s != nil {
		at = max(at, s.lastProof)
	}
	return at
}

// addCrash records a crash against a fingerprint. It reports whether it is new evidence.
func (d *Detector) addCrash(now time.Duration, fingerprint Fingerprint, service string, c crash) bool {
	if now-c.at > retention {
		return false
	}
	s := d.suspects[fingerprint]
	if s == nil {
		d.makeRoom(now)
		s = &suspect{fingerprint: fingerprint, service: service, lastProof: d.lastProof(fingerprint), lastRequested: c.at}
		d.suspects[fingerprint] = s
	}
	return s.add(c)
}

// makeRoom drops outdated suspects and, if the table is full, the one with the fewest and oldest crashes.
func (d *Detector) makeRoom(now time.Duration) {
	if len(d.suspects) < maxSuspects {
		return
	}
	d.Expire(now)
	if len(d.suspects) < maxSuspects {
		return
	}
	var least *suspect
	for _, s := range d.suspects {
		if least == nil || len(s.crashes) < len(least.crashes) ||
			len(s.crashes) == len(least.crashes) && s.lastCrash() < least.lastCrash() {
			least = s
		}
	}
	delete(d.suspects, least.fingerprint)
}

// Expire drops the fingerprints whose last crash is too old, unless they are blocked and still requested.
func (d *Detector) Expire(now time.Duration) {
	d.expireTrials(now)
	for fingerprint, s := range d.suspects {
		if now-s.lastCrash() > retention && (!d.blocked(s) || now-s.lastRequested > idlePeriod) {
			delete(d.suspects, fingerprint)
		}
	}
	for fingerprint, at := range d.lifted {
		if now-at > retention {
			delete(d.lifted, fingerprint)
		}
	}
}

// RecordProof records that a request of a service received a response although it has the given fingerprints. It returns the
// fingerprints that are cleared by it.
func (d *Detector) RecordProof(now time.Duration, service string, fingerprints []Fingerprint) []Fingerprint {
	d.controls[service] = now
	var cleared []Fingerprint
	for _, fingerprint := range fingerprints {
		d.proofs.record(now, fingerprint, now)
		if d.clear(fingerprint, now) {
			cleared = append(cleared, fingerprint)
		}
	}
	return cleared
}

// clear applies a proof to the crashes of a fingerprint. It reports whether none is left.
func (d *Detector) clear(fingerprint Fingerprint, at time.Duration) bool {
	s := d.suspects[fingerprint]
	if s == nil {
		return false
	}
	s.lastProof = max(s.lastProof, at)
	several := len(s.crashes) >= severalCrashes
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.at <= at+proofWindow })
	if len(s.crashes) > 0 {
		return false
	}
	delete(d.suspects, fingerprint)
	delete(d.trials, fingerprint)
	if several {
		d.lifted[fingerprint] = at
	}
	return true
}

// Lift ends the suspicion of a fingerprint by an operator's order. It reports whether there was one.
func (d *Detector) Lift(now time.Duration, fingerprint Fingerprint) bool {
	if d.suspects[fingerprint] == nil {
		return false
	}
	d.lifted[fingerprint] = now
	return d.clear(fingerprint, now)
}

// Suspicion describes a fingerprint for operators.
type Suspicion struct {
	Fingerprint Fingerprint
	State       State
	Service     string
	// Path is the path of the request if the fingerprint is that of a whole request.
	Path    string
	Crashes int
	Servers []string
	Teams   []string
	// Since is the time since the first crash, RetrialIn the time until a blocked fingerprint is tried again.
	Since     time.Duration
	RetrialIn time.Duration
}

// List returns the fingerprints that are suspected or blocked, those with the most crashes first.
func (d *Detector) List(now time.Duration) []Suspicion {
	var list []Suspicion
	for fingerprint, s := range d.suspects {
		if !s.suspected() {
			continue
		}
		entry := Suspicion{
			Fingerprint: fingerprint, State: Suspected, Service: s.service, Path: s.path, Crashes: len(s.crashes),
			Since: now - s.crashes[0].at,
		}
		for _, c := range s.crashes {
			entry.Servers = append(entry.Servers, c.server)
			for _, team := range c.teams {
				if !slices.Contains(entry.Teams, team) {
					entry.Teams = append(entry.Teams, team)
				}
			}
		}
		if d.blocked(s) && s.retrialAt(false) > now {
			entry.State, entry.RetrialIn = Blocked, s.retrialAt(false)-now
		}
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b Suspicion) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), a.Fingerprint.compare(b.Fingerprint))
	})
	return list
}
