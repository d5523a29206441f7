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
func (x *exchange) recordInvalidResponse(err error) bool {
	var invalid *upstream.InvalidResponseError
	isInvalid := errors.As(err, &invalid) && invalid.Unbounded
	if !isInvalid && !errors.Is(err, eventstream.ErrTooLarge) {
		return false
	}
	x.g.opts.Metrics.InvalidResponses.Inc()
	if x.g.invalidServers.shouldLog(time.Now(), x.server) {
		x.g.opts.Log.Warn("backend server sends an invalid response", zap.String("server", x.server),
			zap.String("request", x.metadata.ID), logfield.Error(err))
	}
	return true
}
