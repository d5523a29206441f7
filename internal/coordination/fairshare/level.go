package fairshare

import (
	"math"
	"slices"
)

// Level returns the max-min fair share, in decayed tokens: the amount up to which every team can get what it requested
// when all teams together get rate tokens per second. It is infinite if all teams can get what they requested, or if
// the rate is not positive.
func (a *Accounts) Level(totals map[string]Usage, rate float64) float64 {
	if rate <= 0 {
		return math.Inf(1)
	}
	asked := make([]float64, 0, len(totals))
	for _, u := range totals {
		asked = append(asked, u.Asked)
	}
	return waterLevel(asked, rate*a.timeConstant.Seconds())
}

// FairLevel returns the max-min level of the service that all teams received: the most that any team would have, had
// the same total been shared fairly. It is infinite if all teams received what they requested.
func FairLevel(totals map[string]Usage) float64 {
	asked := make([]float64, 0, len(totals))
	served := 0.0
	for _, u := range totals {
		asked = append(asked, max(u.Asked, u.Served))
		served += u.Served
	}
	return waterLevel(asked, served)
}

// waterLevel returns the level at which the sum of min(amount, level) is the capacity (water-filling), or infinity if
// the amounts do not exceed the capacity. It sorts amounts.
func waterLevel(amounts []float64, capacity float64) float64 {
	slices.Sort(amounts)
	remaining := capacity
	for i, amount := range amounts {
		share := remaining / float64(len(amounts)-i)
		if amount > share {
			return share
		}
		remaining -= amount
	}
	return math.Inf(1)
}
