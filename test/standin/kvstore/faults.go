package kvstore

import (
	"sync"
	"time"
)

// Default rates of the platform's store.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// LostMode says what becomes of a write whose answer is lost.
type LostMode string

// The fates of writes whose answers are lost.
const (
	LostNone    LostMode = ""
	LostApplied LostMode = "applied"
	LostLate    LostMode = "late"
	LostDropped LostMode = "dropped"
)

// Faults are in force until the next change. The zero value is a healthy store.
type Faults struct {
	// Outage refuses all calls with the gateway's error for a store without leader, and breaks watches.
	Outage bool `json:"outage"`
	// Hang accepts calls and never answers them, as a partition does. Writes are not applied.
	Hang bool `json:"hang"`
	// Ambiguous answers writes with the gateway's error for a timeout inside the store; Lost says what becomes of
	// them.
	Ambiguous bool `json:"ambiguous"`
	// DelayMS is added to each call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// Lost breaks the connection of writes instead of answering them.
	Lost LostMode `json:"lost"`
	// LostCount is the number of writes whose answers are lost; 0 means all.
	LostCount int `json:"lost_count"`
	// LateMS is the time until a late write is applied, in milliseconds.
	LateMS int `json:"late_ms"`
	// StaleBy makes reads return the keys' states this many changes ago.
	StaleBy int `json:"stale_by"`
}

// Counters are numbers of calls since the start. Refused calls are included in their kind.
type Counters struct {
	Range        int64 `json:"range"`
	Txn          int64 `json:"txn"`
	Lease        int64 `json:"lease"`
	Watch        int64 `json:"watch"`
	Throttled    int64 `json:"throttled"`
	Refused      int64 `json:"refused"`
	Lost         int64 `json:"lost"`
	BytesIn      int64 `json:"bytes_in"`
	WatchesOpen  int64 `json:"watches_open"`
	PeakWritesPS int64 `json:"peak_writes_per_second"`
	PeakReadsPS  int64 `json:"peak_reads_per_second"`
}

// rate counts calls in windows of one second and refuses those above the limit.
type rate struct {
	mu     sync.Mutex
	limit  int64
	window int64
	used   int64
	peak   int64
}

func (r *rate) allow(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if second := now.Unix(); second != r.window {
		r.window = second
		r.used = 0
	}
	r.used++
	r.peak = max(r.peak, r.used)
	return r.limit <= 0 || r.used <= r.limit
}

func (r *rate) highest() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peak
}
