package admission

import "time"

const (
	// startRate is the assumed reading speed of an engine, in prompt tokens per millisecond, until answers show it.
	startRate = 45.0
	// rateGain weighs a new observation of a speed.
	rateGain = 0.1
	// firstEvent is the time from a read prompt to its first event at the client's router.
	firstEvent = 25 * time.Millisecond
	// minObserved is the number of tokens from which an observation says something about the speed.
	minObserved = 1500
	// slowest and fastest bound the factor of one engine against the service.
	slowest = 8.0
	fastest = 0.5
)

// speeds estimates how fast the engines of a service read prompts.
type speeds struct {
	// slowdown is each engine's time per token against startRate.
	slowdown map[string]float64
	common   float64
}

func newSpeeds() *speeds { return &speeds{slowdown: make(map[string]float64), common: 1} }

// reading returns the time in which a server reads tokens, from its time per token against startRate.
func reading(tokens int, factor float64) time.Duration {
	return time.Duration(float64(tokens) / startRate * factor * float64(time.Millisecond))
}

// tokensRead returns the tokens that a server reads in a time.
func tokensRead(d time.Duration, factor float64) int {
	return int(float64(d) / float64(time.Millisecond) * startRate / factor)
}

func (s *speeds) factor(server string) float64 {
	if f, ok := s.slowdown[server]; ok {
		return f
	}
	return s.common
}

// observe records that the first event came after a time with that many tokens to read before it.
func (s *speeds) observe(server string, tokens int, took time.Duration) {
	if tokens < minObserved {
		return
	}
	perToken := max(took-firstEvent, 0).Seconds() * 1000 / float64(tokens)
	f := min(max(perToken*startRate, fastest), slowest)
	s.slowdown[server] = s.factor(server) + rateGain*(f-s.factor(server))
	s.common += rateGain / 4 * (f - s.common)
}

// retain forgets servers that are gone.
func (s *speeds) retain(known func(string) bool) {
	for server := range s.slowdown {
		if !known(server) {
			delete(s.slowdown, server)
		}
	}
}
