package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// proofWindow is the time after a proof in which a crash does not count against the fingerprint.
	proofWindow = time.Second
	// soundWindow is the time after a proof in which one crash is not enough to suspect the fingerprint.
	soundWindow = 30 * time.Second
	// sameMoment is the time within which crashes of several servers are one event. Routers notice a crash some tens of
	// milliseconds apart.
	sameMoment = 150 * time.Millisecond
	// sameCrash is the time within which two reports of a server without a start time are of the same crash;
	// sameIncarnation is that for a server with one. A router that was suspended reports late.
	sameCrash       = 500 * time.Millisecond
	sameIncarnation = 5 * time.Second
	// minCrashes is the number of crashes after which a fingerprint is blocked. A fingerprint that was proven before
	// needs one more.
	minCrashes = 3
	// severalCrashes is the number of crashes from which on chance is an unlikely explanation.
	severalCrashes = 2
	// manyCrashes is the number of crashes that count although nothing else is proven at the service or other
	// fingerprints may be the cause, and manyMoments the number of moments that count although all were at one address.
	manyCrashes = 5
	manyMoments = 4
	// maxCrashes, maxTeams and maxOthers bound what is kept for a fingerprint.
	maxCrashes = 16
	maxTeams   = 4
	maxOthers  = 4
)

// crash is the end of one incarnation of a server, as evidence against a fingerprint.
type crash struct {
	server    string
	startedAt int64
	// address is the address of the server. One that ends again and again at the same address is not evidence.
	address string
	// at is the earliest time of the end. The server ended within span after it, which is 0 if the end was seen.
	at, span time.Duration
	// teams are the teams whose requests with the fingerprint were on the server, sorted.
	teams []string
	// companions are the other fingerprints without a proof that were in all of these requests, sorted.
	companions []Fingerprint
	// others are suspects and unproven parts that other requests on the server held.
	others []Fingerprint
}

// same reports whether two records are of the same crash.
func (c *crash) same(other *crash) bool {
	if c.server != other.server || c.startedAt != other.startedAt {
		return false
	}
	return (c.at - other.at).Abs() < sameCrashWindow(c.startedAt)
}

// sameCrashWindow returns the time within which two reports of a server with a start time are of the same crash.
func sameCrashWindow(startedAt int64) time.Duration {
	if startedAt != 0 {
		return sameIncarnation
	}
	return sameCrash
}

// merge adds what another record of the same crash knows. It reports whether that is new.
func (c *crash) merge(other *crash) bool {
	teams, companions, others := len(c.teams), len(c.companions), len(c.others)
	if other.span < c.span {
		c.span = max(other.span, other.at+other.span-c.at)
	}
	for _, team := range other.teams {
		c.addTeam(team)
	}
	both := intersection(c.companions, other.companions)
	c.addOthers(other.others)
	c.addOthers(parts(without(c.companions, both...)))
	c.addOthers(parts(without(other.companions, both...)))
	c.companions = both
	return len(c.teams) != teams || len(c.companions) != companions || len(c.others) != others
}

// addOthers adds suspects that requests on the server held, though not all with the fingerprint.
func (c *crash) addOthers(fingerprints []Fingerprint) {
	for _, f := range fingerprints {
		if len(c.others) < maxOthers && !slices.Contains(c.others, f) {
			c.others = append(slices.Clip(c.others), f)
		}
	}
}

// parts returns the fingerprints of parts of prompts.
func parts(fingerprints []Fingerprint) []Fingerprint {
	return slices.DeleteFunc(slices.Clone(fingerprints), func(f Fingerprint) bool { return f.Kind != KindPart })
}

func (c *crash) addTeam(team string) {
	i, found := slices.BinarySearch(c.teams, team)
	if !found && len(c.teams) < maxTeams {
		c.teams = slices.Insert(slices.Clone(c.teams), i, team)
	}
}

func intersection(a, b []Fingerprint) []Fingerprint {
	var both []Fingerprint
	for _, fingerprint := range a {
		if slices.Contains(b, fingerprint) {
			both = append(both, fingerprint)
		}
	}
	return both
}

// suspect is a fingerprint with crashes that no proof has taken back.
type suspect struct {
	fingerprint Fingerprint
	service     string
	// path is that of the request if the fingerprint is that of a whole request.
	path string
	// crashes are sorted by time.
	crashes []crash
	// lastProof is the time of the last proof before the crashes, or never.
	lastProof time.Duration
	// control is set if another router has proven a request without the fingerprint at the service after the first crash.
	control bool
	// lastRequested is the time of the last request with the fingerprint.
	lastRequested time.Duration
}

// add records a crash. It reports whether it is new, or new teams were on the server.
func (s *suspect) add(c crash) bool {
	for i := range s.crashes {
		if s.crashes[i].same(&c) {
			return s.crashes[i].merge(&c)
		}
	}
	i, _ := slices.BinarySearchFunc(s.crashes, c, func(a, b crash) int { return cmp.Compare(a.at, b.at) })
	s.crashes = slices.Insert(s.crashes, i, c)
	if len(s.crashes) > maxCrashes {
		s.crashes = slices.Delete(s.crashes, maxCrashes/2, maxCrashes/2+1)
	}
	return true
}

func (s *suspect) lastCrash() time.Duration { return s.crashes[len(s.crashes)-1].at }

// provenBefore reports whether the fingerprint was proven shortly before its first crash.
func (s *suspect) provenBefore() bool { return s.crashes[0].at-s.lastProof <= soundWindow }

// suspected reports whether requests with the fingerprint are sent as trials only.
func (s *suspect) suspected() bool { return len(s.crashes) >= severalCrashes || !s.provenBefore() }

// moments returns the number of moments at which servers ended. Crashes are sorted by time.
// Crashes whose times are uncertain are of as few moments as is possible.
func moments(crashes []crash) int {
	n, latest := 0, never
	for _, c := range crashes {
		end := c.at + c.span + sameMoment
		if c.at > latest {
			n++
			latest = end
		}
		latest = min(latest, end)
	}
	return n
}

// addresses returns the number of addresses at which servers ended.
func addresses(crashes []crash) int {
	seen := make(map[string]struct{}, len(crashes))
	for _, c := range crashes {
		seen[c.address] = struct{}{}
	}
	return len(seen)
}

// retrials returns the number of crashes by requests that were sent after the fingerprint had crashed minCrashes servers
// and the fleet had learned of it.
func (s *suspect) retrials() int {
	if len(s.crashes) < minCrashes {
		return 0
	}
	known := s.crashes[minCrashes-1].at + settleTime
	n := 0
	for _, c := range s.crashes {
		if c.at > known {
			n++
		}
	}
	return n
}

// appliesTo reports whether a block applies to a team.
func (s *suspect) appliesTo(team string) bool {
	crashes, alone := 0, make(map[string]bool)
	for _, c := range s.crashes {
		if slices.Contains(c.teams, team) {
			crashes++
		}
		if len(c.teams) == 1 {
			alone[c.teams[0]] = true
		}
	}
	return crashes > 1 || len(alone) > 1
}
