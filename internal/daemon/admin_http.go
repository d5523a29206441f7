package daemon

import (
	"encoding/json"
	"expvar"
	"net/http"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
)

// maxBlockedRequestBytes bounds the request that lists blocked routers. 400 names take 15 KB.
const maxBlockedRequestBytes = 64 << 10

// operatorHandler returns the handler of the operators' endpoints, which requires the operators' token. The endpoint
// that blocks links exists only with the fault injection setting.
func (d *Daemon) operatorHandler() http.Handler {
	opts := adminhttp.Options{API: adminBackend{d}, TokenHash: d.settings.OperatorTokenHash}
	mux := http.NewServeMux()
	mux.Handle("/v1/admin/", adminhttp.NewHandler(opts))
	mux.Handle("GET /v1/admin/metrics", opts.Authorize(expvar.Handler()))
	if d.settings.FaultInjection {
		mux.Handle("POST /v1/admin/blocked", opts.Authorize(http.HandlerFunc(d.serveBlocked)))
	}
	return mux
}

// serveBlocked blocks the links to the named routers and unblocks all others.
func (d *Daemon) serveBlocked(w http.ResponseWriter, r *http.Request) {
	var req admin.BlockedRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBlockedRequestBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.network.SetBlocked(req.Routers)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}\n"))
}
