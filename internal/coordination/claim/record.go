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

// holderID identifies the holder of a claim: one call of Begin in one process.
type holderID struct {
	Router      ident.RouterID    `json:"router"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Process is a random id of the process. A router that restarts with no state may reuse an earlier incarnation
	// until it learns of it from others, and must not mistake the claims of its former process for its own.
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

// encode returns the record as JSON. It returns an error for a record above the store's value limit.
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

// decodeRecord decodes a record. It returns an error for an unknown state and for a done record without a result.
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

// openRecord returns the record of a new claim.
func (c Call) openRecord(holder holderID) record {
	return record{State: stateOpen, Holder: holder, Fingerprint: c.Fingerprint.String(), RequestID: c.RequestID}
}

// endedRecord returns the record of an ended claim; result is nil for a call that did not run.
func (c Call) endedRecord(holder holderID, result *Result, now time.Time) record {
	r := c.openRecord(holder)
	r.State = stateNotRun
	if result != nil {
		limited := result.forRecord()
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
