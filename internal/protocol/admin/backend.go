package admin

import (
	"context"
	"errors"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// ErrUnavailable reports that the router cannot answer now, and that nothing was changed.
var ErrUnavailable = errors.New("admin: unavailable")

// Backend answers the operator's endpoints. Implementations are safe for concurrent use.
type Backend interface {
	// Config returns the store's configuration, or the one in force with fromSnapshot set when the store is down.
	Config(ctx context.Context) (gen ident.Generation, set *object.Set, fromSnapshot bool, err error)
	// Apply publishes a set. Errors are those of publish.Publisher, and publish.ErrUnconfirmed together with the
	// generation when the publish was not confirmed.
	Apply(ctx context.Context, base ident.Generation, set *object.Set) (ident.Generation, error)
	// Status returns the fleet as this router sees it.
	Status(ctx context.Context) (Status, error)
	// Timeline returns events of this router, or, with a request id, of all reachable routers.
	Timeline(ctx context.Context, q TimelineQuery) (Timeline, error)
}
