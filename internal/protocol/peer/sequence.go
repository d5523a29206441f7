package peer

// owner is the end of a connection that a request belongs to.
type owner int

const (
	ownerSender owner = iota
	ownerReceiver
	owners
)

// sequences holds the previous sequence number of each end's requests in one direction of a connection. Requests of a
// third router, which follow a hand-over, are written in full.
type sequences [owners]uint64

// shorten replaces a sequence number by its difference to the previous one. Differences wrap around.
func (s *sequences) shorten(w *wireEnvelope) {
	h, o := w.head()
	if h == nil || !h.Router.IsZero() {
		return
	}
	full := uint64(h.Seq)
	h.Seq = int64(full - s[o])
	s[o] = full
}

// expand restores a sequence number.
func (s *sequences) expand(w *wireEnvelope) {
	h, o := w.head()
	if h == nil || !h.Router.IsZero() {
		return
	}
	s[o] += uint64(h.Seq)
	h.Seq = int64(s[o])
}
