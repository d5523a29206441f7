package gateway

import (
	"math"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
)

// shareLogPeriod is the time between two log lines about the teams' shares.
const shareLogPeriod = time.Second

// logShares logs the shares as this router knows them, if requests to model engines wait or were refused, or if owners
// denied or did not answer reservations.
func (n *Node) logShares() {
	r := n.admission.TakeShareReport()
	denied, unanswered := n.owners.denied.Swap(0), n.owners.unanswered.Swap(0)
	if len(r.Teams) == 0 && denied == 0 && unanswered == 0 {
		return
	}
	n.log.Named("shares").Info("shares",
		zap.Float64("capacity_level", loggable(r.CapacityLevel)),
		zap.Float64("fair_level", loggable(r.FairLevel)),
		zap.Bool("starved", r.Starved),
		zap.Duration("processor_delay", n.runQueueDelay.Load()),
		zap.Int64("denied", denied),
		zap.Int64("unanswered", unanswered),
		zap.Objects("teams", loggableShares(r.Teams)),
	)
}

// loggable returns -1 for an infinite level, which JSON cannot hold, and other levels rounded.
func loggable(level float64) float64 {
	if math.IsInf(level, 0) {
		return -1
	}
	return math.Round(level)
}

// loggableShare is a team's share in a log line.
type loggableShare admission.TeamShare

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (s loggableShare) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("team", s.Team)
	enc.AddFloat64("served", math.Round(s.Served))
	enc.AddFloat64("asked", math.Round(s.Asked))
	enc.AddInt("queued", s.Queued)
	enc.AddInt("granted", s.Granted)
	enc.AddInt("refused", s.Refused)
	return nil
}

func loggableShares(shares []admission.TeamShare) []loggableShare {
	list := make([]loggableShare, len(shares))
	for i, s := range shares {
		list[i] = loggableShare(s)
	}
	return list
}
