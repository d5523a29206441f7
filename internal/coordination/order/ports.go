package order

import (
	"context"
	"errors"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Kind is the operation that an order requests.
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

// State is the state that an engine reports.
type State struct {
	// Target is what the engine has loaded.
	Target
	// Loading is what the engine is loading now, or nil.
	Loading *Target
}

// ErrStale reports that the engine refused an order because it has seen a higher fencing number.
var ErrStale = errors.New("order: fencing number too old")

// Engines is the connection to model engines. Orders are idempotent.
type Engines interface {
	// Order sends an order. When it returns, the engine has accepted the order but not carried it out. It returns
	// ErrStale if the engine refused the fencing number.
	Order(ctx context.Context, server *object.BackendServer, c Command) error
	// State reads an engine's state.
	State(ctx context.Context, server *object.BackendServer) (State, error)
}

// Config returns the configuration in force. The set is not modified and may be nil.
type Config func() (ident.Generation, *object.Set)
