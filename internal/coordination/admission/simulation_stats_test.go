package admission

import (
	"fmt"
	"testing"
	"time"
)

// teamStats are the results of one team.
type teamStats struct {
	submitted, onTime, late, refused int
	// tokens are those of the requests that ran: prompt tokens count once, output tokens twice.
	tokens float64
	// bySecond are the tokens of the requests that began to run in each second since the simulation's start.
	bySecond map[int]float64
	// maxRefusedWait is the longest wait of a refused request, refusedWait the sum of all of them.
	maxRefusedWait, refusedWait time.Duration
}

// tokensBetween returns the tokens of the requests that began to run from one second to before another.
func (s *teamStats) tokensBetween(from, to int) float64 {
	sum := 0.0
	for second := from; second < to; second++ {
		sum += s.bySecond[second]
	}
	return sum
}

func (sim *simulation) statsOf(team string) *teamStats {
	s := sim.stats[team]
	if s == nil {
		s = &teamStats{bySecond: make(map[int]float64)}
		sim.stats[team] = s
	}
	return s
}

func (s *teamStats) String() string {
	meanRefusedWait := s.refusedWait / time.Duration(max(s.refused, 1))
	return fmt.Sprintf("submitted %d, on time %d, late %d, refused %d after %v, %.0f tokens",
		s.submitted, s.onTime, s.late, s.refused, meanRefusedWait, s.tokens)
}

func logStats(t *testing.T, sim *simulation) {
	t.Helper()
	for team, s := range sim.stats {
		t.Log(team, s)
	}
}
