package ident

import "fmt"

// RouterID identifies a router VM. It stays the same across restarts.
type RouterID string

// TeamID identifies a team object.
type TeamID string

// PoolID identifies the pool of a model or a service, as "model/NAME" or "service/NAME".
type PoolID string

// BackendID identifies a backend server object.
type BackendID string

// DomainID identifies a failure domain object.
type DomainID string

// Incarnation distinguishes successive processes with the same RouterID. A later process has a higher value.
type Incarnation uint64

// Generation numbers accepted configurations. It increases by one with each publish; 0 means no configuration.
type Generation uint64

// Cost is an amount of service, in cost units.
type Cost int64

// Prefixes of pool IDs by kind of pool.
const (
	modelPrefix   = "model/"
	servicePrefix = "service/"
)

// ModelPool returns the ID of a model's pool.
func ModelPool(model string) PoolID { return PoolID(modelPrefix + model) }

// ServicePool returns the ID of a service's pool.
func ServicePool(service string) PoolID { return PoolID(servicePrefix + service) }

// ShardID identifies a shard, which is a subset of a pool's backend servers.
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

// String returns the request ID that callers see: "ROUTER-INCARNATION-SEQ" with hexadecimal numbers.
func (r RequestRef) String() string {
	return fmt.Sprintf("%s-%x-%x", r.Router, uint64(r.Incarnation), r.Seq)
}

// AttemptRef identifies one attempt to run a request. Attempts are numbered from 1.
type AttemptRef struct {
	Request RequestRef `cbor:"1,keyasint" json:"request"`
	Attempt uint32     `cbor:"2,keyasint" json:"attempt"`
}
