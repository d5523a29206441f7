package adminhttp

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/publish"
	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Options configure the handler.
type Options struct {
	// API implements the operations behind the endpoints.
	API admin.API
	// Token is the bearer token of operators. If Token and TokenHash are empty, all calls are refused.
	Token string
	// TokenHash is the hexadecimal SHA-256 hash of the token. It is used when Token is empty.
	TokenHash string
}

// NewHandler returns a handler for the paths of package admin.
func NewHandler(opts Options) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, e endpoint.Endpoint, decode kithttp.DecodeRequestFunc) {
		server := kithttp.NewServer(e, decode, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(encodeError))
		mux.Handle(pattern, authorize(opts.tokenHash(), server))
	}
	handle("GET "+admin.PathConfig, configEndpoint(opts.API), decodeEmpty)
	handle("POST "+admin.PathConfig, applyEndpoint(opts.API), decodeApply)
	handle("GET "+admin.PathStatus, statusEndpoint(opts.API), decodeEmpty)
	handle("GET "+admin.PathTimeline, timelineEndpoint(opts.API), decodeTimeline)
	return mux
}

// tokenHash returns the SHA-256 hash of the token, or an empty hash if none is set or TokenHash is malformed.
func (o Options) tokenHash() []byte {
	if o.Token != "" {
		sum := sha256.Sum256([]byte(o.Token))
		return sum[:]
	}
	sum, err := hex.DecodeString(o.TokenHash)
	if err != nil {
		return nil
	}
	return sum
}

// Authorize returns a handler that calls next for requests with the operator token and responds to others with 401.
func (o Options) Authorize(next http.Handler) http.Handler { return authorize(o.tokenHash(), next) }

// authorize implements Authorize. It compares hashes, so that the time taken does not depend on the token. If wantHash
// is empty, it refuses all requests.
func authorize(wantHash []byte, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		gotHash := sha256.Sum256([]byte(token))
		if len(wantHash) == 0 || !bearer || subtle.ConstantTimeCompare(gotHash[:], wantHash) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, admin.ErrorResponse{Error: "operator token is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func configEndpoint(api admin.API) endpoint.Endpoint {
	return func(ctx context.Context, _ any) (any, error) {
		gen, set, fromSnapshot, err := api.Config(ctx)
		if err != nil {
			return nil, err
		}
		list, err := object.EncodeList(set)
		return admin.Config{Generation: gen, Objects: list, FromSnapshot: fromSnapshot}, err
	}
}

func applyEndpoint(api admin.API) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		apply := request.(admin.ApplyRequest)
		set := object.NewSet()
		if findings := object.Decode("", object.EncodeFile(apply.Objects), set); len(findings) > 0 {
			return nil, findings
		}
		gen, err := api.Apply(ctx, apply.Base, set)
		if errors.Is(err, publish.ErrUnconfirmed) {
			return admin.ApplyResponse{Generation: gen, Unconfirmed: true}, nil
		}
		if err != nil {
			return nil, err
		}
		return admin.ApplyResponse{Generation: gen}, nil
	}
}

func statusEndpoint(api admin.API) endpoint.Endpoint {
	return func(ctx context.Context, _ any) (any, error) { return api.Status(ctx) }
}

func timelineEndpoint(api admin.API) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return api.Timeline(ctx, request.(admin.TimelineQuery))
	}
}

func decodeEmpty(context.Context, *http.Request) (any, error) { return nil, nil }

// errBadRequest marks errors of requests that the handler cannot decode.
var errBadRequest = errors.New("malformed request")

func decodeApply(_ context.Context, r *http.Request) (any, error) {
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, object.MaxFileBytes))
	if err != nil {
		return nil, errors.Wrap(errBadRequest, err.Error())
	}
	var request admin.ApplyRequest
	if err := json.Unmarshal(data, &request); err != nil {
		return nil, errors.Wrap(errBadRequest, err.Error())
	}
	if request.Objects == nil {
		// An empty list removes all objects, so a body without a list must not be taken for an empty one.
		return nil, errors.Wrap(errBadRequest, "objects are missing")
	}
	return request, nil
}

func decodeTimeline(_ context.Context, r *http.Request) (any, error) {
	values := r.URL.Query()
	query := admin.TimelineQuery{Limit: admin.DefaultTimelineLimit, Request: values.Get("request")}
	if text := values.Get("since"); text != "" {
		since, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, errors.Wrap(errBadRequest, "since: "+err.Error())
		}
		query.Since = since
	}
	if text := values.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 {
			return nil, errors.Wrapf(errBadRequest, "limit: %q is not a positive integer", text)
		}
		query.Limit = min(limit, admin.MaxTimelineLimit)
	}
	return query, nil
}
