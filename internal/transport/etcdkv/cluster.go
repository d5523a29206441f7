package etcdkv

import "sync"

// clusterTracker holds the cluster ID of the store's latest response. Responses to calls that began before the ID was
// learned cannot change it: they may be late ones of the cluster before a restore. It is safe for concurrent use.
type clusterTracker struct {
	mu sync.Mutex
	id string
	// began counts the calls. learnedAt is its value when id was learned.
	began, learnedAt uint64
}

// begin returns the number of a call that begins now.
func (c *clusterTracker) begin() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began++
	return c.began
}

// record records the cluster ID of the response to a call. It returns false if the response must not be used, because
// the call began before another ID was learned.
func (c *clusterTracker) record(call uint64, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id == "" || id == c.id {
		return true
	}
	if c.id != "" && call <= c.learnedAt {
		return false
	}
	c.id, c.learnedAt = id, c.began
	return true
}

// current returns the latest ID, or an empty string before the first.
func (c *clusterTracker) current() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.id
}
