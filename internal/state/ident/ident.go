package ident

import "fmt"

// RouterID names a router VM. It stays the same across restarts.
type RouterID string

// TeamID names a team object.
type TeamID string

// PoolID names a pool: a model or a service, as "model/NAME" or "service/NAME".
type PoolID string

// BackendID names a backend server object.
type BackendID string

// DomainID names a failure domain object.
type DomainID string

// Incarnation distinguishes the processes that run under one RouterID. A later process has a higher value.
type Incarnation uint64

// Generation numbers accepted configurations. It grows by one with each publish; 0 means no configuration.
type Generation uint64

// Cost is an amount of service in cost units.
type Cost int64

// Pool prefixes by kind of pool.
const (
	modelPrefix   = "model/"
	servicePrefix = "service/"
)

// ModelPool returns the pool of a model.
func ModelPool(model string) PoolID { return PoolID(modelPrefix + model) }

// ServicePool returns the pool of a service.
func ServicePool(service string) PoolID { return PoolID(servicePrefix + service) }

// ShardID names a slice of a pool's backend servers.
type ShardID struct {
	Pool  PoolID `cbor:"1,keyasint" json:"pool"`
	Index uint16 `cbor:"2,keyasint,omitempty" json:"index"`
}

// String returns "POOL#INDEX".
func (s ShardID) String() string { return fmt.Sprintf("%s#%d", s.Pool, s.Index) }

// RequestRef identifies a caller's request across the fleet.
type RequestRef struct {
	Router      RouterID    `cbor:"1,keyasint" json:"router"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
	Seq         uint64      `cbor:"3,keyasint" json:"seq"`
}

// String returns the request id that callers see: "ROUTER-INCARNATION-SEQ" with hexadecimal numbers.
func (r RequestRef) String() string {
	return fmt.Sprintf("%s-%x-%x", r.Router, uint64(r.Incarnation), r.Seq)
}

// AttemptRef identifies one attempt to run a request. The first attempt is number 1.
type AttemptRef struct {
	Request RequestRef `cbor:"1,keyasint" json:"request"`
	Attempt uint32     `cbor:"2,keyasint" json:"attempt"`
}
