package engine

import (
	"encoding/json"
	"io"
)

// MaxStateBytes bounds an engine's state.
const MaxStateBytes = 256 << 10

// OrderKind says what an engine is ordered to do.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel   OrderKind = "load-model"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderChangeRole  OrderKind = "change-role"
)

// Order is the body of POST /v1/orders. An engine answers 202, or 409 when it refuses an old fencing number.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Model and Version name what to load.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// Adapter names the adapter of load-adapter.
	Adapter string `json:"adapter,omitempty"`
	// Role is the new role of change-role.
	Role string `json:"role,omitempty"`
	// Fence is the fencing number. Engines that check it refuse an order with a lower one than they have seen.
	Fence int64 `json:"fence"`
}

// State is the answer of GET /v1/state.
type State struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	// Fence is the highest fencing number seen. Engines that ignore fencing report 0.
	Fence int64 `json:"fence"`
	// Loading is the order that is being carried out, or nil.
	Loading *Order `json:"loading,omitempty"`
}

// DecodeState decodes the answer of GET /v1/state. Errors: *DecodeError.
func DecodeState(r io.Reader) (State, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxStateBytes+1))
	if err != nil {
		return State{}, &DecodeError{Kind: ErrTruncated, Detail: "state", Cause: err}
	}
	if len(data) > MaxStateBytes {
		return State{}, &DecodeError{Kind: ErrTooLarge, Detail: "state above the limit"}
	}
	var s State
	if err := json.Unmarshal(data, &s); err != nil {
		return State{}, malformed("state: %v", err)
	}
	return s, nil
}
