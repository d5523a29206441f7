package fairshare

import (
	"math"
	"slices"
)

// Level returns the max-min fair share, in faded tokens: the amount up to which every team can get what it asked for
// when all teams together get rate tokens per second. It is infinite when all can have what they asked for.
func (a *Accounts) Level(totals map[string]Part, rate float64) float64 {
	if rate <= 0 {
		return math.Inf(1)
	}
	asked := make([]float64, 0, len(totals))
	for _, p := range totals {
		asked = append(asked, p.Asked)
	}
	return waterLevel(asked, rate*a.constant.Seconds())
}

// FairLevel returns the max-min level of what all teams got: the amount that each team would have at most, had the same
// total been shared fairly. It is infinite when all got what they asked for.
func FairLevel(totals map[string]Part) float64 {
	asked := make([]float64, 0, len(totals))
	served := 0.0
	for _, p := range totals {
		asked = append(asked, max(p.Asked, p.Served))
		served += p.Served
	}
	return waterLevel(asked, served)
}

// waterLevel returns the level at which the sum of min(amount, level) is the capacity.
func waterLevel(amounts []float64, capacity float64) float64 {
	slices.Sort(amounts)
	left := capacity
	for i, amount := range amounts {
		share := left / float64(len(amounts)-i)
		if amount > share {
			return share
		}
		left -= amount
	}
	return math.Inf(1)
}
