package claim

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// recordState is the state of a record. Only the holder changes an open record.
type recordState string

const (
	stateOpen   recordState = "open"
	stateDone   recordState = "done"
	stateNotRun recordState = "not-run"
)

// holderID names the holder of a claim: one Begin of one process.
type holderID struct {
	Router      ident.RouterID    `json:"router"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Process is random per process. A router that restarts empty may run under an incarnation it had before, until
	// it hears of it, and must not take the claims of its former process for its own.
	Process string `json:"process"`
	Seq     uint64 `json:"seq"`
}

// record is the value of a claim's key.
type record struct {
	State       recordState `json:"state"`
	Holder      holderID    `json:"holder"`
	Fingerprint string      `json:"fingerprint"`
	RequestID   string      `json:"request_id,omitempty"`
	// ExpiresMS is when a done or not-run record may be deleted, in milliseconds since 1970. 0 for open records.
	ExpiresMS int64   `json:"expires_ms,omitempty"`
	Result    *Result `json:"result,omitempty"`
}

func (r record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "claim: encode record")
	}
	if len(value) > kv.MaxValueBytes {
		return nil, errors.Errorf("claim: record of %d bytes exceeds the store's limit", len(value))
	}
	return value, nil
}

func decodeRecord(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, errors.Wrap(err, "claim: decode record")
	}
	switch r.State {
	case stateOpen, stateNotRun:
		return r, nil
	case stateDone:
		if r.Result == nil {
			return record{}, errors.New("claim: done record without a result")
		}
		return r, nil
	}
	return record{}, errors.Errorf("claim: record has unknown state %q", r.State)
}

// open returns the record of a new claim.
func (c Call) open(id holderID) record {
	return record{State: stateOpen, Holder: id, Fingerprint: c.Fingerprint.String(), RequestID: c.RequestID}
}

// ended returns the record of an ended claim; result is nil for a call that did not run.
func (c Call) ended(id holderID, result *Result, now time.Time) record {
	r := c.open(id)
	r.State = stateNotRun
	if result != nil {
		limited := result.limited()
		r.State = stateDone
		r.Result = &limited
	}
	retention := c.Retention
	if retention <= 0 {
		retention = DefaultRetention
	}
	r.ExpiresMS = now.Add(retention).UnixMilli()
	return r
}
