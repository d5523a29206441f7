package gateway

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/protocol/eventstream"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/transport/upstream"
)

// recordInvalidResponse counts and logs the error of a send if the server's response exceeds the limits of the protocol,
// and reports whether it does.
func (a *attempt) recordInvalidResponse(err error) bool {
	x, server := a.x, a.decision.Server.ID
	var invalid *upstream.InvalidResponseError
	isInvalid := errors.As(err, &invalid) && invalid.Unbounded
	if !isInvalid && !errors.Is(err, eventstream.ErrTooLarge) {
		return false
	}
	x.g.opts.Metrics.InvalidResponses.Inc()
	if x.g.invalidServers.shouldLog(time.Now(), server) {
		x.g.opts.Log.Warn("backend server sends an invalid response", zap.String("server", server),
			zap.String("request", x.metadata.ID), logfield.Error(err))
	}
	return true
}
