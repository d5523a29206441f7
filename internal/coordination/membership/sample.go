package membership

import (
	"math"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

const (
	// sampleSize is the number of the latest regular pings that are remembered.
	sampleSize = 64
	// minSamples is the least number of pings that an estimate rests on.
	minSamples = 20
	// sampledShare is the estimated share from which a majority is assumed. With 24 pings and half of the routers out of
	// reach, an estimate gets there in 3 of 100 windows; with a sixth out of reach it misses it in 5 of 100.
	sampledShare = 0.7
	// countedUpTo is the largest number of routers that majorities are counted over one by one. Within 4 s a router
	// pings 24 others, which is a majority of 47.
	countedUpTo = 47
	// generationWindow is how recent the answers are that an estimate of a generation's spread rests on.
	generationWindow = 4 * time.Second
)

// sample is the result of a regular ping.
type sample struct {
	sent     time.Duration
	answered bool
	// generation is what the member announced with its answer.
	generation ident.Generation
}

// addSample remembers the result of a ping.
func (d *Detector) addSample(s sample) {
	if len(d.samples) < sampleSize {
		d.samples = append(d.samples, s)
		return
	}
	d.samples[d.nextSample] = s
	d.nextSample = (d.nextSample + 1) % sampleSize
}

// estimate returns an estimated number of routers that answer and satisfy match, or 0 when it is not surely a majority.
// Large fleets cannot be counted: the share of answered pings to live members is taken times the share of live members
// among all. While a partition is being noticed, the first share falls; as its other side is declared dead, the second.
func (v *View) estimate(now, window time.Duration, match func(sample) bool) int {
	if len(v.voters) <= countedUpTo {
		return 0
	}
	total, hits := 0, 0
	for _, s := range v.samples {
		if s.sent < now-window {
			continue
		}
		total++
		if s.answered && match(s) {
			hits++
		}
	}
	if total < minSamples {
		return 0
	}
	share := float64(hits) / float64(total) * float64(len(v.live)) / float64(len(v.voters))
	if share < sampledShare {
		return 0
	}
	return int(math.Floor(share * float64(len(v.voters))))
}
