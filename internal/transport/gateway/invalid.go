package gateway

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/protocol/eventstream"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/transport/upstream"
)

const (
	// invalidLogInterval is the shortest time between two log lines about invalid responses of one server. A server that
	// goes on is probed again every few seconds.
	invalidLogInterval = time.Minute
	// maxInvalidServers is the number of servers from which those that were logged long ago are forgotten.
	maxInvalidServers = 1024
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

// logInterval limits how often something is logged about each server. It is safe for concurrent use.
type logInterval struct {
	mu     sync.Mutex
	logged map[string]time.Time
}

// shouldLog reports whether a line about a server may be logged now, and counts it as logged.
func (l *logInterval) shouldLog(now time.Time, server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.logged[server]; ok && now.Sub(at) < invalidLogInterval {
		return false
	}
	if l.logged == nil {
		l.logged = make(map[string]time.Time)
	}
	if len(l.logged) >= maxInvalidServers {
		for other, at := range l.logged {
			if now.Sub(at) >= invalidLogInterval {
				delete(l.logged, other)
			}
		}
	}
	l.logged[server] = now
	return true
}
