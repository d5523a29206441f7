package timeline

import "gooseberrytide.example/gooseberrytide/internal/state/ident"

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	KindRequest     Kind = "request"
	KindEnqueue     Kind = "enqueue"
	KindGrant       Kind = "grant"
	KindGrantUnused Kind = "grant-unused"
	KindReject      Kind = "reject"
	KindRedirect    Kind = "redirect"
	KindSettle      Kind = "settle"
	KindOutcome     Kind = "outcome"
	KindMember      Kind = "member"
	KindOwner       Kind = "owner"
	KindGeneration  Kind = "generation"
	KindServing     Kind = "serving"
	KindOrder       Kind = "order"
	KindDrain       Kind = "drain"
	KindGap         Kind = "gap"
)

// Stamp is a hybrid logical timestamp in microseconds since the Unix epoch. It is higher than every stamp that the
// router issued or accepted before.
type Stamp uint64

// Event is an entry of a timeline. Fields that do not apply to its kind are empty.
type Event struct {
	Seq        uint64           `json:"seq"`
	Stamp      Stamp            `json:"stamp"`
	Router     ident.RouterID   `json:"router"`
	Kind       Kind             `json:"kind"`
	Request    string           `json:"request,omitempty"`
	Attempt    uint32           `json:"attempt,omitempty"`
	Team       ident.TeamID     `json:"team,omitempty"`
	Shard      string           `json:"shard,omitempty"`
	Backend    ident.BackendID  `json:"backend,omitempty"`
	Peer       ident.RouterID   `json:"peer,omitempty"`
	Generation ident.Generation `json:"generation,omitempty"`
	Detail     string           `json:"detail,omitempty"`
}
