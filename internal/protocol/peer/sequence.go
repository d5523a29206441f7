package peer

// requestOwner is the endpoint of a connection that owns a request.
type requestOwner int

const (
	ownerSender requestOwner = iota
	ownerReceiver
	ownerCount
)

// lastSeqs holds the previous sequence number of each endpoint's requests in one direction of a connection. Sequence
// numbers of a third router's requests, which occur after a handover, are sent in full.
type lastSeqs [ownerCount]uint64

// toDifference replaces the sequence number of a message by its difference to the previous one. Differences wrap
// around.
func (s *lastSeqs) toDifference(w *wireEnvelope) {
	h, o := w.header()
	if h == nil || !h.Router.IsZero() {
		return
	}
	full := uint64(h.Seq)
	h.Seq = int64(full - s[o])
	s[o] = full
}

// fromDifference restores the sequence number of a message.
func (s *lastSeqs) fromDifference(w *wireEnvelope) {
	h, o := w.header()
	if h == nil || !h.Router.IsZero() {
		return
	}
	s[o] += uint64(h.Seq)
	h.Seq = int64(s[o])
}
