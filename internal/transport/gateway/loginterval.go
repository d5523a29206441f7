package gateway

import (
	"sync"
	"time"
)

const (
	// serverLogInterval is the shortest time between two log lines of one kind about one server. A server in trouble is
	// probed again every few seconds.
	serverLogInterval = time.Minute
	// maxLoggedServers is the number of servers from which those that were logged long ago are forgotten.
	maxLoggedServers = 1024
)

// logInterval limits how often something is logged about each server. It is safe for concurrent use.
type logInterval struct {
	mu     sync.Mutex
	logged map[string]time.Time
}

// shouldLog reports whether a line about a server may be logged now, and counts it as logged.
func (l *logInterval) shouldLog(now time.Time, server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.logged[server]; ok && now.Sub(at) < serverLogInterval {
		return false
	}
	if l.logged == nil {
		l.logged = make(map[string]time.Time)
	}
	if len(l.logged) >= maxLoggedServers {
		for other, at := range l.logged {
			if now.Sub(at) >= serverLogInterval {
				delete(l.logged, other)
			}
		}
	}
	l.logged[server] = now
	return true
}
