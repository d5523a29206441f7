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

// Stats counts what a network exchanged since its start.
type Stats struct {
	// Classes holds the counts by message class. The class "link" has handshakes, lengths, MACs and frame headers.
	Classes [peer.ClassCount]ClassStats
	// Dropped counts messages that were not sent because the queue was full, the link was broken or the peer blocked.
	Dropped uint64
	// Refused counts refused handshakes.
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

// counter is one atomic pair of messages and bytes.
type counter struct{ messages, bytes atomic.Uint64 }

// add counts messages and their bytes.
func (c *counter) add(messages, bytes int) {
	c.messages.Add(uint64(messages))
	c.bytes.Add(uint64(bytes))
}

// counters are the live counts behind Stats.
type counters struct {
	in, out [peer.ClassCount]counter
	dropped atomic.Uint64
	refused atomic.Uint64
	links   atomic.Int64
}

// stats copies the counts.
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
