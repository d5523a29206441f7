package scheduler

// Weights of the engine choice, in units of load share.
const (
	// affinityWeight is the load difference that a wholly cached prompt is worth. Below 1, so that a loaded engine
	// passes work to an idle one.
	affinityWeight = 0.6
	// domainBonus prefers the ingress router's failure domain between about equally loaded engines.
	domainBonus = 0.05
)

// choose returns the backend server for a request, or nil when none may take it now. An ejected backend server whose
// probe is due comes first, because it gets one request only and nothing else brings it back.
func (s *Scheduler) choose(r *request) *backend {
	s.cache.match(r, s.now, s.share)
	s.turn++
	n := len(s.backends)
	var best *backend
	var bestScore float64
	for i := range n {
		b := s.backends[(i+int(s.turn%uint64(n)))%n]
		if !b.available() || r.excluded(b.ID) {
			continue
		}
		if b.health == healthEjected {
			return b
		}
		score := s.score(b, r)
		if best == nil || score > bestScore {
			best, bestScore = b, score
		}
	}
	return best
}

func (s *Scheduler) score(b *backend, r *request) float64 {
	score := affinityWeight*s.share[b.index] - float64(b.running)/float64(b.limit)
	if r.domain != "" && r.domain == b.Domain {
		score += domainBonus
	}
	return score
}

// placeable says whether some backend server may take the request now.
func (s *Scheduler) placeable(r *request) bool {
	return r.excludes == 0 && s.available != 0 || r.allowed&s.available != 0
}

// refresh recomputes the in-flight limits.
func (s *Scheduler) refresh() {
	extra := 0
	if s.totals.meanRunMS > 0 && s.totals.meanRunMS < shortRunMS {
		extra = 1
	}
	s.available = 0
	for _, b := range s.backends {
		b.extra = extra
		b.limit = b.limitAt(s.now)
		s.noteAvailable(b)
	}
}

// noteAvailable corrects the set of available backend servers after a change of b.
func (s *Scheduler) noteAvailable(b *backend) {
	if b.available() {
		s.available |= maskOf(b.index)
	} else if b.index >= 0 && len(s.backends) <= maskBits {
		s.available &^= maskOf(b.index)
	}
}
