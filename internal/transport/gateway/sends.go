package gateway

import (
	"slices"
	"sync"
)

// sends records the sends of one request. It is safe for concurrent use.
type sends struct {
	mu    sync.Mutex
	count int
	// possibleRuns counts the sends after which the request may have run, those in progress included.
	possibleRuns int
	// servers are the IDs of the servers, in the order of the sends.
	servers []string
}

// begin records a send to a server.
func (s *sends) begin(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	s.possibleRuns++
	s.servers = append(s.servers, server)
}

// recordNotRun records that a send has ended and that its server did not run the request.
func (s *sends) recordNotRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.possibleRuns--
}

// total returns the number of sends, and of those after which the request may have run.
func (s *sends) total() (count, possibleRuns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count, s.possibleRuns
}

// mayRunAgain reports whether the request may be sent and run once more, if it may run at most maxRuns times.
func (s *sends) mayRunAgain(maxRuns int) bool {
	count, possibleRuns := s.total()
	return count < maxSends && possibleRuns < maxRuns
}

// tried returns the servers that the request was sent to.
func (s *sends) tried() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.servers)
}
