package daemon

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"gooseberrytide.example/gooseberrytide/internal/coordination/publish"
	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// maxBlockedBytes bounds a list of blocked routers. 400 names take 15 KB.
const maxBlockedBytes = 64 << 10

// operatorHandler serves the operators' endpoints to holders of the operators' token.
func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/admin/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, d.status())
	})
	mux.HandleFunc("POST /v1/admin/config", d.servePublish)
	mux.Handle("GET /v1/admin/metrics", metricsHandler())
	if d.settings.FaultInjection {
		mux.HandleFunc("POST /v1/admin/blocked", d.serveBlocked)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.operator(r) {
			writeJSON(w, http.StatusUnauthorized, map[string]string{"error": "operator token missing or wrong"})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// operator reports whether a request carries the operators' token.
func (d *Daemon) operator(r *http.Request) bool {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(d.settings.OperatorTokenHash)) == 1
}

func (d *Daemon) servePublish(w http.ResponseWriter, r *http.Request) {
	var req admin.PublishRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<20)).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	generation, err := d.publishObjects(r.Context(), req.Base, req.Objects)
	var findings object.Findings
	var conflict *publish.ConflictError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, admin.PublishResponse{Generation: generation})
	case errors.As(err, &findings):
		writeJSON(w, http.StatusUnprocessableEntity, map[string]any{"findings": findings})
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, map[string]any{"conflicts": conflict.Objects, "generation": conflict.Generation})
	default:
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
	}
}

// serveBlocked cuts the links to exactly the named routers.
func (d *Daemon) serveBlocked(w http.ResponseWriter, r *http.Request) {
	var req admin.BlockedRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBlockedBytes)).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	d.network.SetBlocked(req.Routers)
	writeJSON(w, http.StatusOK, req)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
