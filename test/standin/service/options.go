package service

import "time"

// defaultConcurrency is the default of Options.Concurrency.
const defaultConcurrency = 8

// Options configure a service. A zero field means its default.
type Options struct {
	// Latency is how long a call runs.
	Latency time.Duration
	// Concurrency is the number of calls that run at once; others wait. Default 8.
	Concurrency int
	// Deduplicate runs calls with the same Idempotency-Key once and repeats the answer.
	Deduplicate bool
	// CheckFencing refuses a call whose fencing number is lower than the highest one seen for its key.
	CheckFencing bool
}

// Faults are injected faults: the number of next calls that are hit. -1 means all.
type Faults struct {
	// Drop runs the call and closes the connection without an answer.
	Drop int `json:"drop"`
	// Refuse answers 503 with Not-Run, without running the call.
	Refuse int `json:"refuse"`
	// Hang runs the call and does not answer until the connection is closed.
	Hang int `json:"hang"`
	// Fail runs the call and answers 500.
	Fail int `json:"fail"`
}

// Counts are executions since the start.
type Counts struct {
	Executions int            `json:"executions"`
	ByKey      map[string]int `json:"by_key"`
	ByRequest  map[string]int `json:"by_request"`
	Refused    int            `json:"refused"`
	Dropped    int            `json:"dropped"`
	Hung       int            `json:"hung"`
	Failed     int            `json:"failed"`
	// Repeated is the number of answers repeated for a known key.
	Repeated int `json:"repeated"`
	// Stale is the number of calls refused for an old fencing number.
	Stale int `json:"stale"`
	// MaxByKey is the highest number of executions of one key.
	MaxByKey int `json:"max_by_key"`
}

// Answer is the body of an answer.
type Answer struct {
	RequestID string `json:"request_id"`
	Key       string `json:"key,omitempty"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Execution is the number of the execution, from 1.
	Execution int `json:"execution"`
	// Echo is the body of the call.
	Echo string `json:"echo"`
}
