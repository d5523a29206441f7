package peerlink

import (
	"sync/atomic"

	"gooseberrytide.example/gooseberrytide/internal/protocol/peer"
)

// ClassStats counts the messages and bytes of one class. Bytes do not include TCP and IP headers.
type ClassStats struct {
	MessagesIn, MessagesOut uint64
	BytesIn, BytesOut       uint64
}

// Stats holds the statistics of a network since its creation.
type Stats struct {
	// Classes holds the counts by message class. The class "link" counts handshakes, lengths, MACs and frame headers.
	Classes [peer.ClassCount]ClassStats
	// Dropped counts messages that were not sent because the queue was full, the link failed, or the peer was blocked
	// or unreachable.
	Dropped uint64
	// Refused counts refused connections.
	Refused uint64
	// Links counts the open frame connections.
	Links int
}

// Total returns the sum over all classes.
func (s Stats) Total() ClassStats {
	var t ClassStats
	for _, c := range s.Classes {
		t.MessagesIn += c.MessagesIn
		t.MessagesOut += c.MessagesOut
		t.BytesIn += c.BytesIn
		t.BytesOut += c.BytesOut
	}
	return t
}

// counter counts messages and bytes atomically.
type counter struct{ messages, bytes atomic.Uint64 }

// add counts messages and their bytes.
func (c *counter) add(messages, bytes int) {
	c.messages.Add(uint64(messages))
	c.bytes.Add(uint64(bytes))
}

// counters holds the counters from which Stats is computed.
type counters struct {
	in, out [peer.ClassCount]counter
	dropped atomic.Uint64
	refused atomic.Uint64
	links   atomic.Int64
}

// stats returns the current values.
func (c *counters) stats() Stats {
	s := Stats{Dropped: c.dropped.Load(), Refused: c.refused.Load(), Links: int(c.links.Load())}
	for i := range s.Classes {
		s.Classes[i] = ClassStats{
			MessagesIn: c.in[i].messages.Load(), MessagesOut: c.out[i].messages.Load(),
			BytesIn: c.in[i].bytes.Load(), BytesOut: c.out[i].bytes.Load(),
		}
	}
	return s
}
