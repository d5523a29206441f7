package admin

import (
	"context"
	"errors"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// ErrUnavailable reports that the router temporarily cannot serve the request. Nothing was changed.
var ErrUnavailable = errors.New("admin: unavailable")

// API implements the operations behind the operator's endpoints. Implementations are safe for concurrent use.
type API interface {
	// Config returns the configuration in the store. When the store is down, it returns the configuration in force at
	// this router and sets fromSnapshot.
	Config(ctx context.Context) (gen ident.Generation, set *object.Set, fromSnapshot bool, err error)
	// Apply publishes a set of objects in place of the base generation and returns the new generation. Errors are those
	// of publish.Publisher; publish.ErrUnconfirmed is returned together with the new generation when the publish was
	// not confirmed.
	Apply(ctx context.Context, base ident.Generation, set *object.Set) (ident.Generation, error)
	// Status returns the fleet as this router sees it.
	Status(ctx context.Context) (Status, error)
	// Timeline returns events of this router or, if the query has a request id, of all reachable routers.
	Timeline(ctx context.Context, q TimelineQuery) (Timeline, error)
}
