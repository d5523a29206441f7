package gateway

import (
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverlimit"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverspeed"
	"gooseberrytide.example/gooseberrytide/internal/coordination/warmup"
)

// maxServerPause bounds the pause that a server asks for, and its warm-up, so that a wrong value does not take it out of use
// for good.
const maxServerPause = 5 * time.Minute

// recordAnnouncement records what a response to the request says about its server: that it leaves, that it wants a pause,
// how many requests a second it takes, its load and its pace, or whether it is cold. Announcements other than a pause
// count only if the server signed the response or says that it did not run the request. A response of another server at
// the address does not count.
func (a *attempt) recordAnnouncement() {
	x := a.x
	metadata := a.metadata
	if metadata.WrongServer {
		return
	}
	announcement := admission.Announcement{
		Leaving: metadata.Leaving && (metadata.Signed || metadata.NotExecuted),
		Pause:   a.serverPause(),
		Limit:   a.limitStatement(),
		Load:    a.announcedLoad(),
		Cold:    a.coldStatement(),
	}
	if announcement == (admission.Announcement{}) {
		return
	}
	news := x.g.opts.Admission.Announce(a.ticket, announcement)
	if news.Leaving {
		x.g.opts.Metrics.LeavingServers.Inc()
		a.log("backend server leaves")
		x.g.opts.OnServerLeaving(a.decision.Server)
	}
	if announcement.Pause > 0 {
		x.g.opts.Metrics.ServerPauses.Inc()
		a.log("backend server pauses", zap.Duration("pause", announcement.Pause))
	}
	if news.Paced {
		x.g.opts.Log.Info("backend servers announce their pace", zap.String("service", x.service.Name),
			zap.String("server", a.decision.Server.ID), zap.Int("pace", metadata.Pace))
	}
	if news.Limit != serverlimit.Unchanged {
		x.g.opts.Metrics.ServerLimits.WithLabelValues(news.Limit.String()).Inc()
		a.log("backend server limit "+news.Limit.String(), zap.Float64("limit", metadata.Limit))
		x.g.opts.OnServerLimit(a.decision.Server)
	}
}

// announcedLoad returns the load and the pace that the response announces, or a zero value if it announces none that count.
func (a *attempt) announcedLoad() serverspeed.Announcement {
	metadata := a.metadata
	if !metadata.LoadKnown || !metadata.Signed && !metadata.NotExecuted {
		return serverspeed.Announcement{}
	}
	return serverspeed.Announcement{
		Running: metadata.LoadRunning, Waiting: metadata.LoadWaiting, Slots: metadata.LoadSlots, Pace: metadata.Pace,
	}
}

// limitStatement returns what the response says about the rate of requests that its server takes. It returns nil if it
// says nothing that counts: an invalid value neither sets a limit nor ends one, and only a server that has run the request
// can end its limit.
func (a *attempt) limitStatement() *serverlimit.Statement {
	x, metadata := a.x, a.metadata
	switch {
	case metadata.InvalidLimit != "":
		a.recordInvalidLimit()
		return nil
	case metadata.Limited && !metadata.Signed && !metadata.NotExecuted:
		return nil
	case !metadata.Limited && (!metadata.Signed || !x.g.opts.Admission.AnyLimits()):
		return nil
	}
	return &serverlimit.Statement{
		Limited: metadata.Limited, Rate: metadata.Limit, SentAt: a.sentAt, ReceivedAt: time.Now(),
	}
}

// coldStatement returns what the response says about the warm-up of its server. It returns nil if it says nothing that
// counts, or if the servers of the service are never cold. Only a server that has run the request can end its warm-up.
func (a *attempt) coldStatement() *warmup.Statement {
	x, metadata := a.x, a.metadata
	switch {
	case x.service.ColdPerSecond <= 0:
		return nil
	case metadata.InvalidCold != "":
		a.recordInvalidWarmup()
		return nil
	case !metadata.ColdNamed, !metadata.Signed && (metadata.ColdLeft == 0 || !metadata.NotExecuted):
		return nil
	}
	return &warmup.Statement{Left: min(metadata.ColdLeft, maxServerPause), SentAt: a.sentAt, ReceivedAt: time.Now()}
}

// recordInvalidWarmup counts and logs a warm-up time that is not valid.
func (a *attempt) recordInvalidWarmup() {
	x, server := a.x, a.decision.Server.ID
	x.g.opts.Metrics.InvalidWarmups.Inc()
	if x.g.invalidLimits.shouldLog(time.Now(), server) {
		x.g.opts.Log.Warn("backend server names a warm-up time that is not valid", zap.String("server", server),
			zap.String("request", x.metadata.ID), zap.String("time", a.metadata.InvalidCold))
	}
}

// recordInvalidLimit counts and logs a limit that is not valid.
func (a *attempt) recordInvalidLimit() {
	x, server := a.x, a.decision.Server.ID
	x.g.opts.Metrics.InvalidLimits.Inc()
	if x.g.invalidLimits.shouldLog(time.Now(), server) {
		x.g.opts.Log.Warn("backend server names a limit that is not valid", zap.String("server", server),
			zap.String("request", x.metadata.ID), zap.String("limit", a.metadata.InvalidLimit))
	}
}

// serverPause returns the pause that a response asks for, within bounds. 0 means none.
func (a *attempt) serverPause() time.Duration {
	x, server, metadata := a.x, a.decision.Server.ID, a.metadata
	text := metadata.InvalidPause
	if metadata.Pause > maxServerPause {
		text = metadata.Pause.String()
	}
	if text != "" && x.g.invalidPauses.shouldLog(time.Now(), server) {
		x.g.opts.Log.Warn("backend server asks for a pause that is not valid", zap.String("server", server),
			zap.String("request", x.metadata.ID), zap.String("pause", text))
	}
	return min(metadata.Pause, maxServerPause)
}
