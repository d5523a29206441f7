package engine

import (
	"encoding/json"
	"io"
)

// MaxStateBytes bounds the body of the response to GET /v1/state.
const MaxStateBytes = 256 << 10

// OrderKind is the operation that an order requests.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel   OrderKind = "load-model"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderChangeRole  OrderKind = "change-role"
)

// Order is the body of POST /v1/orders. An engine responds with status 202, or 409 if it rejects an outdated fencing
// number.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Model and Version identify what to load.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// Adapter is the adapter to load, for orders of kind load-adapter.
	Adapter string `json:"adapter,omitempty"`
	// Role is the new role, for orders of kind change-role.
	Role string `json:"role,omitempty"`
	// Fence is the fencing number. Engines that check it reject an order with a lower number than the highest one seen.
	Fence int64 `json:"fence"`
}

// State is the body of the response to GET /v1/state.
type State struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	// Fence is the highest fencing number seen. Engines that ignore fencing report 0.
	Fence int64 `json:"fence"`
	// Loading is the order in progress, or nil.
	Loading *Order `json:"loading,omitempty"`
}

// DecodeState decodes the response to GET /v1/state. Errors are of type *DecodeError.
func DecodeState(r io.Reader) (State, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxStateBytes+1))
	if err != nil {
		return State{}, &DecodeError{Kind: ErrTruncated, Detail: "state", Cause: err}
	}
	if len(data) > MaxStateBytes {
		return State{}, &DecodeError{Kind: ErrTooLarge, Detail: "state exceeds the size limit"}
	}
	var s State
	if err := json.Unmarshal(data, &s); err != nil {
		return State{}, malformed("state: %v", err)
	}
	return s, nil
}
