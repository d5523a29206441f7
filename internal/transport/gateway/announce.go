package gateway

import (
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
)

// maxServerPause bounds the pause that a server asks for, so that a wrong value does not take it out of use for good.
const maxServerPause = 5 * time.Minute

// recordAnnouncement records what a response to the request says about its server: that it leaves, or that it wants a
// pause. An announcement that the server leaves takes it out of use for good, so it counts only if the server signed
// the response or says that it did not run the request. A response of another server at the address does not count.
func (a *attempt) recordAnnouncement() {
	x := a.x
	metadata := a.metadata
	if metadata.WrongServer {
		return
	}
	leaving := metadata.Leaving && (metadata.Signed || metadata.NotExecuted)
	pause := a.serverPause()
	if !leaving && pause == 0 {
		return
	}
	if x.g.opts.Admission.Announce(a.ticket, admission.Announcement{Leaving: leaving, Pause: pause}) {
		x.g.opts.Metrics.LeavingServers.Inc()
		a.log("backend server leaves")
		x.g.opts.OnServerLeaving(a.decision.Server)
	}
	if pause > 0 {
		x.g.opts.Metrics.ServerPauses.Inc()
		a.log("backend server pauses", zap.Duration("pause", pause))
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
