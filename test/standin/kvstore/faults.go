package kvstore

import (
	"sync"
	"time"
)

// Default rate limits, as in the platform's store.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// LostMode selects what happens to a write whose response is lost.
type LostMode string

// Modes of lost responses.
const (
	// LostNone loses no responses.
	LostNone LostMode = ""
	// LostApplied applies the write at once.
	LostApplied LostMode = "applied"
	// LostLate applies the write after Faults.LateMS.
	LostLate LostMode = "late"
	// LostDropped discards the write.
	LostDropped LostMode = "dropped"
)

// Faults stay in effect until they are replaced. The zero value injects none.
type Faults struct {
	// Outage fails all calls with the gateway's error for a store without a leader, and closes watches.
	Outage bool `json:"outage"`
	// Hang accepts calls and never responds, as in a network partition. Writes are not applied.
	Hang bool `json:"hang"`
	// Ambiguous makes writes selected by Lost fail with the gateway's error for a timeout inside the store, instead
	// of closing the connection. Lost determines whether they are applied.
	Ambiguous bool `json:"ambiguous"`
	// DelayMS is the delay added to each call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// Lost closes the connection of writes without a response.
	Lost LostMode `json:"lost"`
	// LostCount is the number of writes whose responses are lost; 0 means all.
	LostCount int `json:"lost_count"`
	// LateMS is the time until a late write is applied, in milliseconds.
	LateMS int `json:"late_ms"`
	// StaleBy makes reads return the states that the keys had this many changes ago.
	StaleBy int `json:"stale_by"`
}

// Counters holds the numbers of calls since the start. Refused calls also count as calls of their kind.
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

// rateLimiter counts calls in windows of one second and refuses those above the limit.
type rateLimiter struct {
	mu sync.Mutex
	// limit is in calls per second; 0 or less means no limit.
	limit        int64
	windowSecond int64
	count        int64
	peak         int64
}

func (r *rateLimiter) allow(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if second := now.Unix(); second != r.windowSecond {
		r.windowSecond = second
		r.count = 0
	}
	r.count++
	r.peak = max(r.peak, r.count)
	return r.limit <= 0 || r.count <= r.limit
}

func (r *rateLimiter) peakCount() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peak
}
