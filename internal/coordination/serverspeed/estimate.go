package serverspeed

import "time"

// mean is an exponentially weighted moving average.
type mean struct {
	known bool
	value float64
}

// add adds an observation with a weight. The first observation replaces the unknown value.
func (m *mean) add(value, weight float64) {
	if !m.known {
		m.known, m.value = true, value
		return
	}
	m.value += weight * (value - m.value)
}

// or returns the average, or a substitute if there is no observation.
func (m *mean) or(substitute float64) float64 {
	if m.known {
		return m.value
	}
	return substitute
}

const (
	// lineDecay is the factor by which older observations of pauses lose weight with each new one.
	lineDecay = 0.999
	// minLineWeight is the weight of observations below which a line is not used.
	minLineWeight = 50
	// minLineVariance is the variance of the number of running requests below which the line is taken as flat.
	minLineVariance = 0.05
)

// line fits the pause between events as a linear function of the number of running requests, by least squares with
// decaying weights.
type line struct {
	weight, sumRunning, sumRunning2, sumPause, sumProduct float64
	// base and slope are the coefficients, in milliseconds.
	base, slope float64
}

// add adds an observed pause in milliseconds.
func (l *line) add(running, pause float64) {
	l.weight = l.weight*lineDecay + 1
	l.sumRunning = l.sumRunning*lineDecay + running
	l.sumRunning2 = l.sumRunning2*lineDecay + running*running
	l.sumPause = l.sumPause*lineDecay + pause
	l.sumProduct = l.sumProduct*lineDecay + running*pause
	meanRunning, meanPause := l.sumRunning/l.weight, l.sumPause/l.weight
	variance := l.sumRunning2/l.weight - meanRunning*meanRunning
	l.slope = 0
	if variance > minLineVariance {
		l.slope = max((l.sumProduct/l.weight-meanRunning*meanPause)/variance, 0)
	}
	l.slope = min(l.slope, meanPause/max(meanRunning, 1))
	l.base = meanPause - l.slope*meanRunning
}

// known reports whether there are enough observations.
func (l *line) known() bool { return l.weight >= minLineWeight }

// at returns the pause in milliseconds with a number of running requests.
func (l *line) at(running float64) float64 { return l.base + l.slope*running }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
