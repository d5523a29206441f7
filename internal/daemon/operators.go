package daemon

import (
	"expvar"
	"net/http"

	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
)

// operatorHandler serves the operators' endpoints to holders of the operators' token.
func (d *Daemon) operatorHandler() http.Handler {
	opts := adminhttp.Options{Backend: operators{d}, TokenHash: d.settings.OperatorTokenHash}
	mux := http.NewServeMux()
	mux.Handle("/v1/admin/", adminhttp.NewHandler(opts))
	mux.Handle("GET /v1/admin/metrics", opts.Authorize(expvar.Handler()))
	return mux
}
