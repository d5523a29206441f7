package membership

import (
	"math"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

const (
	// maxSamples is the number of the latest rotation pings whose results are kept.
	maxSamples = 64
	// minSamples is the smallest number of pings for an estimate.
	minSamples = 20
	// minMajorityShare is the estimated share from which a majority is assumed. With 24 pings and half of the routers
	// unreachable, an estimate reaches it in 3 of 100 windows; with a sixth unreachable, an estimate stays below it in 5
	// of 100.
	minMajorityShare = 0.7
	// maxCountedVoters is the largest number of routers among which majorities are counted and not estimated. Within 4 s a
	// router pings 24 others, which is a majority of 47.
	maxCountedVoters = 47
	// generationWindow is the maximum age of the pings used to estimate how many routers have a generation.
	generationWindow = 4 * time.Second
)

// sample is the result of a ping of the rotation.
type sample struct {
	sent     time.Duration
	answered bool
	// generation is the generation that the member announced with its answer.
	generation ident.Generation
}

// addSample stores the result of a ping and overwrites the oldest one when the buffer is full.
func (d *Detector) addSample(s sample) {
	if len(d.samples) < maxSamples {
		d.samples = append(d.samples, s)
		return
	}
	d.samples[d.nextSample] = s
	d.nextSample = (d.nextSample + 1) % maxSamples
}

// estimate returns an estimate of the number of voters that answer and satisfy match, or 0 if that is not reliably a
// majority. The voters of large fleets cannot all be pinged within a window, so the share of matching answers to pings
// of live members is multiplied by the share of live members among the voters. During a partition, the first share
// falls until the other side is declared dead, then the second one falls.
func (v *View) estimate(now, window time.Duration, match func(sample) bool) int {
	if len(v.voters) <= maxCountedVoters {
		return 0
	}
	total, matching := 0, 0
	for _, s := range v.samples {
		if s.sent < now-window {
			continue
		}
		total++
		if s.answered && match(s) {
			matching++
		}
	}
	if total < minSamples {
		return 0
	}
	share := float64(matching) / float64(total) * float64(len(v.live)) / float64(len(v.voters))
	if share < minMajorityShare {
		return 0
	}
	return int(math.Floor(share * float64(len(v.voters))))
}
