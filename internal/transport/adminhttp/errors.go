package adminhttp

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/publish"
	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// encodeError writes an error with a status: 400 for malformed requests, 409 for conflicts, 422 for findings, 503 if
// nothing was changed or the outcome is uncertain, and 500 otherwise.
func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	body := admin.ErrorResponse{Error: err.Error()}
	var (
		findings  object.Findings
		conflict  *publish.ConflictError
		uncertain *publish.UncertainError
	)
	switch {
	case errors.As(err, &findings):
		body.Error = "the configuration is invalid"
		body.Findings = findings
		writeError(w, http.StatusUnprocessableEntity, body)
	case errors.As(err, &conflict):
		body.Conflicts = object.FormatIDs(conflict.Objects)
		body.Approximate = conflict.Approximate
		body.Generation = conflict.Generation
		writeError(w, http.StatusConflict, body)
	case errors.As(err, &uncertain):
		body.Uncertain = true
		body.Generation = uncertain.Generation
		writeError(w, http.StatusServiceUnavailable, body)
	case errors.Is(err, errBadRequest):
		writeError(w, http.StatusBadRequest, body)
	case retriable(err):
		writeError(w, http.StatusServiceUnavailable, body)
	default:
		writeError(w, http.StatusInternalServerError, body)
	}
}

func retriable(err error) bool {
	for _, target := range []error{
		admin.ErrUnavailable, kv.ErrUnavailable, kv.ErrThrottled,
		publish.ErrNoQuorum, publish.ErrContended,
		context.DeadlineExceeded, context.Canceled,
	} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

func writeError(w http.ResponseWriter, status int, body admin.ErrorResponse) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
