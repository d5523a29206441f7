package scheduler

// Weights in the score of a backend server, in units of its load: requests in flight divided by the limit.
const (
	// affinityWeight is the load difference that a fully cached prompt outweighs. It is below 1, so that a loaded engine
	// does not attract work that an idle one could run.
	affinityWeight = 0.6
	// domainBonus favours the ingress router's failure domain among about equally loaded engines.
	domainBonus = 0.05
)

// chooseBackend returns the backend server with the highest score for a request, or nil if none may run it now. An
// ejected backend server whose probe is due is chosen first: it gets only this one request, and only a successful probe
// readmits it.
func (s *Scheduler) chooseBackend(r *request) *backend {
	s.cache.match(r, s.now, s.cachedShare)
	s.rotation++
	n := len(s.backends)
	var best *backend
	var bestScore float64
	for i := range n {
		b := s.backends[(i+int(s.rotation%uint64(n)))%n]
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
	score := affinityWeight*s.cachedShare[b.index] - float64(b.running)/float64(b.limit)
	if r.domain != "" && r.domain == b.Domain {
		score += domainBonus
	}
	return score
}

// placeable reports whether some backend server may run the request now.
func (s *Scheduler) placeable(r *request) bool {
	return r.excludeCount == 0 && s.available != 0 || r.allowed&s.available != 0
}

// refreshLimits recomputes the in-flight limits and the set of available backend servers.
func (s *Scheduler) refreshLimits() {
	extra := 0
	if s.totals.meanRunMS > 0 && s.totals.meanRunMS < shortRunMS {
		extra = 1
	}
	s.available = 0
	for _, b := range s.backends {
		b.extraSlots = extra
		b.limit = b.limitAt(s.now)
		s.updateAvailable(b)
	}
}

// updateAvailable updates the set of available backend servers after a change of b.
func (s *Scheduler) updateAvailable(b *backend) {
	if b.available() {
		s.available |= maskOf(b.index)
	} else if b.index >= 0 && len(s.backends) <= maskBits {
		s.available &^= maskOf(b.index)
	}
}
