package service

import "time"

// defaultConcurrency is the default of Options.Concurrency.
const defaultConcurrency = 8

// Options configures a service. A zero field selects its default.
type Options struct {
	// Latency is the duration of a call.
	Latency time.Duration
	// Concurrency is the number of calls that run at once; others wait. Default 8.
	Concurrency int
	// Deduplicate runs calls with the same Idempotency-Key once and returns the first answer to repeated calls.
	Deduplicate bool
	// CheckFencing refuses a call whose fencing number is lower than the highest one seen for its key.
	CheckFencing bool
}

// Faults configures the injected faults. Each field is the number of calls that the fault affects; -1 means no limit.
type Faults struct {
	// Drop runs the call and closes the connection without a response.
	Drop int `json:"drop"`
	// Refuse responds with status 503 and the Not-Run header, without running the call.
	Refuse int `json:"refuse"`
	// Hang runs the call and sends no response.
	Hang int `json:"hang"`
	// Fail runs the call and responds with status 500.
	Fail int `json:"fail"`
}

// Counts holds the numbers of executions and injected faults since the start.
type Counts struct {
	Executions int            `json:"executions"`
	ByKey      map[string]int `json:"by_key"`
	ByRequest  map[string]int `json:"by_request"`
	Refused    int            `json:"refused"`
	Dropped    int            `json:"dropped"`
	Hung       int            `json:"hung"`
	Failed     int            `json:"failed"`
	// Repeated is the number of calls with a key seen before, if calls are deduplicated.
	Repeated int `json:"repeated"`
	// Stale is the number of calls refused for an old fencing number.
	Stale int `json:"stale"`
	// MaxByKey is the highest number of executions of one key.
	MaxByKey int `json:"max_by_key"`
}

// Answer is the body of a successful response.
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
