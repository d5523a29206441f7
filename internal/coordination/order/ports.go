package order

import (
	"context"
	"errors"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Kind says what an engine is ordered to do.
type Kind string

// The kinds of orders.
const (
	LoadModel   Kind = "load-model"
	LoadAdapter Kind = "load-adapter"
	ChangeRole  Kind = "change-role"
)

// Target is the model and version that an engine has to load.
type Target struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Command is an order to an engine.
type Command struct {
	Kind Kind
	Target
	// Adapter is set for LoadAdapter, Role for ChangeRole.
	Adapter, Role string
	// Fence is the fencing number.
	Fence int64
}

// State is what an engine says about itself.
type State struct {
	Target
	// Loading is what the engine is loading now, or nil.
	Loading *Target
}

// ErrStale reports that the engine refused an order because it has seen a higher fencing number.
var ErrStale = errors.New("order: fencing number too old")

// Engines sends orders. Orders are idempotent.
type Engines interface {
	// Order gives an order. The order is accepted, not carried out, when it returns. Errors: ErrStale, others.
	Order(ctx context.Context, server *object.BackendServer, c Command) error
	// State reads an engine's state.
	State(ctx context.Context, server *object.BackendServer) (State, error)
}

// Config returns the configuration in force. The set is not modified and may be nil.
type Config func() (ident.Generation, *object.Set)
