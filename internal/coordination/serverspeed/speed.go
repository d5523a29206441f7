package serverspeed

import "time"

const (
	// meanPauseFraction is the fraction of the longest permitted pause that the mean pause may reach. Single pauses are
	// longer, since they include the prefill of other prompts.
	meanPauseFraction = 0.5
	// minBatchFill is the fraction of the slots that may be used in any case. Pauses that are long for another reason than
	// the number of requests do not get shorter with fewer requests.
	minBatchFill = 0.25
	// idleTime is the time from the end of a request until the next one arrives at the server. While it lasts, a request
	// that waits at the server keeps the slot in use.
	idleTime = 30 * time.Millisecond
	// queueFraction is the fraction of the objective that a plain request may take with its wait at the server.
	queueFraction = 0.5
)

// Speed is how fast a server works at a time.
type Speed struct {
	// Pace says how long work takes, relative to the usual time.
	Pace     float64
	meanPace float64
	// prefill is the time per prompt token, delay the time to a first event beside the prefill, work that of a plain
	// request, in milliseconds at the usual pace.
	prefill, delay, work float64
	pauseRatio           float64
	pauses               *line
	// load is nil if it is not known.
	load *announcedLoad
}

// LoadKnown reports whether the number of requests at the server is known from an announcement. It is not if the
// announcement is too old, or below the load that this router itself had on the server.
func (s *Speed) LoadKnown() bool { return s.load != nil }

// Requests returns the number of requests at the server as it announced, with the changes of this router's own requests
// since. It returns own if the announced number is not known.
func (s *Speed) Requests(own int) int {
	if s.load == nil {
		return own
	}
	return s.load.requests + own - s.load.own
}

// PrefillTime returns the time to prefill tokens.
func (s *Speed) PrefillTime(tokens int) time.Duration {
	return fromMilliseconds(float64(tokens) * s.prefill * s.Pace)
}

// PrefillTokens returns the number of tokens that the server prefills in a time.
func (s *Speed) PrefillTokens(d time.Duration) int {
	return int(milliseconds(d) / (s.prefill * s.Pace))
}

// PrefillRate returns the number of prompt tokens per millisecond.
func (s *Speed) PrefillRate() float64 { return 1 / (s.prefill * s.Pace) }

// Delay returns the time from a send to the first event beside the prefill.
func (s *Speed) Delay() time.Duration { return fromMilliseconds(s.delay * s.Pace) }

// Pause returns the mean pause between two events with a number of running requests. It returns false if it is not known.
func (s *Speed) Pause(running int) (time.Duration, bool) {
	if !s.pauses.known() {
		return 0, false
	}
	return fromMilliseconds(s.pauses.at(float64(running)) * s.pauseRatio * s.Pace), true
}

// MaxRunning returns how many requests may run on an engine so that pauses stay below the longest permitted one. It returns
// false if the pauses are not known. It answers the load pattern of full batches: a batch is filled as far as the streams
// on it permit. It uses the mean pace, because streams last longer than a slow moment.
func (s *Speed) MaxRunning(slots int, maxPause time.Duration) (int, bool) {
	if maxPause <= 0 || !s.pauses.known() {
		return 0, false
	}
	bound := meanPauseFraction * milliseconds(maxPause) / (s.pauseRatio * s.meanPace)
	least := max(int(minBatchFill*float64(slots)), 1)
	switch {
	case s.pauses.at(float64(slots)) <= bound:
		return slots, true
	case s.pauses.slope <= 0:
		return least, true
	}
	return max(int((bound-s.pauses.base)/s.pauses.slope), least), true
}

// MaxRequests returns how many requests may be at a plain server: those that keep its slots in use until the next one
// arrives, as long as responses come within the objective. It answers the load pattern of short requests on few slots,
// which would idle for a round trip after each, and that of a slow server, at which requests would wait too long.
func (s *Speed) MaxRequests(slots int, objective time.Duration) int {
	work := max(s.work*s.Pace, 1)
	perSlot := 1 + milliseconds(idleTime)/work
	if objective > 0 {
		perSlot = min(perSlot, queueFraction*milliseconds(objective)/work)
	}
	return max(int(perSlot*float64(slots)+0.5), slots, 1)
}

// Work returns the time of a request of a plain service at the usual pace.
func (s *Speed) Work() time.Duration { return fromMilliseconds(s.work) }

// ResponseTime returns the expected time of the response of a plain server that has a number of requests already.
func (s *Speed) ResponseTime(requests, slots int) time.Duration {
	rounds := max(float64(requests+1)/float64(max(slots, 1)), 1)
	return fromMilliseconds(s.work * s.Pace * rounds)
}
