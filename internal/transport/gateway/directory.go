package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/platform"
)

// Directory is the HTTP handler that tells clients which routers to connect to.
type Directory struct {
	// Addresses returns the routers for a client in a failure domain, best first.
	Addresses func(domain string) []string
	// Lifetime is how long clients may cache a response.
	Lifetime time.Duration
	Log      *zap.Logger
}

// ServeHTTP implements http.Handler.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := platform.DecodeDirectoryQuery(r)
	addresses := d.Addresses(query.FailureDomain)
	if len(addresses) == 0 {
		d.Log.Warn("no router to name", zap.String("domain", query.FailureDomain))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := platform.WriteDirectory(w, addresses, d.Lifetime); err != nil {
		d.Log.Warn("response not sent", logfield.Error(err))
	}
}

// Readiness is the HTTP handler of the platform's readiness probe. It returns 200 if the router accepts clients, and
// 503 otherwise.
type Readiness struct {
	Ready func() bool
}

// ServeHTTP implements http.Handler.
func (rd *Readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if rd.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
