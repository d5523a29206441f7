package admission

import "time"

const (
	// initialPrefillRate is the assumed prefill rate of an engine, in prompt tokens per millisecond, until its answers
	// show the real one.
	initialPrefillRate = 45.0
	// slowdownSmoothing is the weight of a new observation in the moving average of an engine's slowdown.
	slowdownSmoothing = 0.1
	// firstEventDelay is the time from the end of the prefill to the first event at the client's router.
	firstEventDelay = 25 * time.Millisecond
	// minObservedTokens is the number of tokens below which an observation is too imprecise to use.
	minObservedTokens = 1500
	// Bounds of an observed slowdown.
	maxSlowdown = 8.0
	minSlowdown = 0.5
)

// prefillSpeeds estimates how fast the engines of a service prefill prompts.
type prefillSpeeds struct {
	// slowdown is each engine's prefill time per token relative to initialPrefillRate.
	slowdown map[string]float64
	// commonSlowdown is the moving average over all engines, used for engines without observations.
	commonSlowdown float64
}

func newPrefillSpeeds() *prefillSpeeds {
	return &prefillSpeeds{slowdown: make(map[string]float64), commonSlowdown: 1}
}

// prefillTime returns the time that a server with the given slowdown takes to prefill tokens.
func prefillTime(tokens int, slowdown float64) time.Duration {
	return time.Duration(float64(tokens) / initialPrefillRate * slowdown * float64(time.Millisecond))
}

// prefillTokens returns the number of tokens that a server with the given slowdown prefills in a time.
func prefillTokens(d time.Duration, slowdown float64) int {
	return int(float64(d) / float64(time.Millisecond) * initialPrefillRate / slowdown)
}

func (s *prefillSpeeds) slowdownOf(server string) float64 {
	if slowdown, ok := s.slowdown[server]; ok {
		return slowdown
	}
	return s.commonSlowdown
}

// observe updates an engine's slowdown from the time between a send and the first event, during which the engine had to
// prefill the given number of tokens.
func (s *prefillSpeeds) observe(server string, tokens int, took time.Duration) {
	if tokens < minObservedTokens {
		return
	}
	perToken := max(took-firstEventDelay, 0).Seconds() * 1000 / float64(tokens)
	slowdown := min(max(perToken*initialPrefillRate, minSlowdown), maxSlowdown)
	s.slowdown[server] = s.slowdownOf(server) + slowdownSmoothing*(slowdown-s.slowdownOf(server))
	s.commonSlowdown += slowdownSmoothing / 4 * (slowdown - s.commonSlowdown)
}

// retain drops the servers that are not known any more.
func (s *prefillSpeeds) retain(known func(string) bool) {
	for server := range s.slowdown {
		if !known(server) {
			delete(s.slowdown, server)
		}
	}
}
