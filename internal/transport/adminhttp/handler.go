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
	Backend admin.API
	// Token is what operators send as bearer token. An empty token refuses all calls.
	Token string
	// TokenHash is the hexadecimal SHA-256 hash of the token. It is used when Token is empty.
	TokenHash string
}

// NewHandler returns a handler for the paths of package admin.
func NewHandler(opts Options) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, e endpoint.Endpoint, decode kithttp.DecodeRequestFunc) {
		server := kithttp.NewServer(e, decode, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(encodeError))
		mux.Handle(pattern, authorize(opts.hash(), server))
	}
	handle("GET "+admin.PathConfig, configEndpoint(opts.Backend), decodeNothing)
	handle("POST "+admin.PathConfig, applyEndpoint(opts.Backend), decodeApply)
	handle("GET "+admin.PathStatus, statusEndpoint(opts.Backend), decodeNothing)
	handle("GET "+admin.PathTimeline, timelineEndpoint(opts.Backend), decodeTimeline)
	return mux
}

// hash returns the hash of the token, or an empty one when none is set.
func (o Options) hash() []byte {
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

// Authorize passes on requests with the operators' token.
func (o Options) Authorize(next http.Handler) http.Handler { return authorize(o.hash(), next) }

// authorize compares hashes, so that the time taken does not depend on the token. An empty hash refuses all calls.
func authorize(want []byte, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(given))
		if len(want) == 0 || !bearer || subtle.ConstantTimeCompare(got[:], want) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, admin.ErrorResponse{Error: "operator token is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func configEndpoint(b admin.API) endpoint.Endpoint {
	return func(ctx context.Context, _ any) (any, error) {
		gen, set, fromSnapshot, err := b.Config(ctx)
		if err != nil {
			return nil, err
		}
		list, err := object.EncodeList(set)
		return admin.Config{Generation: gen, Objects: list, FromSnapshot: fromSnapshot}, err
	}
}

func applyEndpoint(b admin.API) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		apply := request.(admin.ApplyRequest)
		set := object.NewSet()
		if findings := object.Decode("", object.EncodeFile(apply.Objects), set); len(findings) > 0 {
			return nil, findings
		}
		gen, err := b.Apply(ctx, apply.Base, set)
		if errors.Is(err, publish.ErrUnconfirmed) {
			return admin.ApplyResponse{Generation: gen, Unconfirmed: true}, nil
		}
		if err != nil {
			return nil, err
		}
		return admin.ApplyResponse{Generation: gen}, nil
	}
}

func statusEndpoint(b admin.API) endpoint.Endpoint {
	return func(ctx context.Context, _ any) (any, error) { return b.Status(ctx) }
}

func timelineEndpoint(b admin.API) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return b.Timeline(ctx, request.(admin.TimelineQuery))
	}
}

func decodeNothing(context.Context, *http.Request) (any, error) { return nil, nil }

// errBadRequest marks requests that the handler cannot read.
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
		// Guards the configuration against a body that lacks the list: an empty list removes all objects.
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
			return nil, errors.Wrapf(errBadRequest, "limit: %q is no positive number", text)
		}
		query.Limit = min(limit, admin.MaxTimelineLimit)
	}
	return query, nil
}
