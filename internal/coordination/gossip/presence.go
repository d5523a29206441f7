package gossip

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PresenceKey identifies a router, its incarnation, and whether it is ready.
type PresenceKey uint32

// presenceKey returns the key under which relays list the sender. It changes with everything that a sighting does not
// tell, so that a sighting never confirms an outdated report.
func (r *Report) presenceKey() PresenceKey {
	h := xxhash.New()
	_, _ = h.WriteString(r.Router)
	var state [9]byte
	binary.LittleEndian.PutUint64(state[:], r.Incarnation)
	if r.Ready {
		state[8] = 1
	}
	_, _ = h.Write(state[:])
	return PresenceKey(h.Sum64())
}

// Presence is a part of the list of live routers that a relay sends to all routers.
type Presence struct {
	// Relay is the sender.
	Relay     string     `cbor:"2,keyasint"`
	Sightings []Sighting `cbor:"1,keyasint"`
}

// Sighting lists routers in the same state that a relay knows to be live.
type Sighting struct {
	_ struct{} `cbor:",toarray"`
	// AgeMS is the longest time since one of the routers gave a sign of life, in milliseconds.
	AgeMS int64
	// ConfigVersion, Rate and Busy are as in Report. Rate is rounded up.
	ConfigVersion int64
	Rate          uint32
	Busy          bool
	Routers       []PresenceKey
}

const (
	// sightingAgeStep is the step to which ages are rounded up. It bounds the number of sightings in a list.
	sightingAgeStep = 100 * time.Millisecond
	// maxSightingBytes is the maximum encoded size of a Sighting without its routers. keyBytes is that of a PresenceKey,
	// and maxHeadBytes that of a Presence without sightings.
	maxSightingBytes = 32
	keyBytes         = 5
	maxHeadBytes     = 100
	// maxKeys is the maximum number of routers in a Sighting, so that it fits a datagram.
	maxKeys = (maxDatagram - maxHeadBytes - maxSightingBytes) / keyBytes
)

// sightingState is the part of a Sighting that its routers have in common.
type sightingState struct {
	ageSteps      int64
	configVersion int64
	rate          uint32
	busy          bool
}

// Presence returns the list of live routers, with the sender of the report own, in parts that fit a datagram each.
func (p *Peers) Presence(now time.Time, own *Report) []Presence {
	byState := make(map[sightingState][]PresenceKey)
	for _, peer := range append(p.Live(now), Peer{Report: own, Heard: now}) {
		state := peer.sightingState(now)
		byState[state] = append(byState[state], peer.presenceKey())
	}
	var parts []Presence
	free := 0
	for state, keys := range byState {
		for part := range slices.Chunk(keys, maxKeys) {
			size := maxSightingBytes + keyBytes*len(part)
			if size > free {
				parts = append(parts, Presence{Relay: own.Router})
				free = maxDatagram - maxHeadBytes
			}
			free -= size
			last := &parts[len(parts)-1]
			last.Sightings = append(last.Sightings, state.sighting(part))
		}
	}
	return parts
}

func (p *Peer) sightingState(now time.Time) sightingState {
	return sightingState{
		ageSteps:      int64((now.Sub(p.Heard) + sightingAgeStep - 1) / sightingAgeStep),
		configVersion: p.ConfigVersion,
		rate:          uint32(math.Ceil(float64(max(p.Rate, 0)))),
		busy:          p.Busy,
	}
}

func (s sightingState) sighting(keys []PresenceKey) Sighting {
	return Sighting{
		AgeMS: s.ageSteps * sightingAgeStep.Milliseconds(), ConfigVersion: s.configVersion, Rate: s.rate, Busy: s.busy,
		Routers: keys,
	}
}

// Observe records the sightings of a relay. Routers whose state is not known from a report of their own are ignored.
func (p *Peers) Observe(now time.Time, presence *Presence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range presence.Sightings {
		s := &presence.Sightings[i]
		if s.AgeMS < 0 {
			continue
		}
		heard := now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
		for _, key := range s.Routers {
			e, ok := p.entries[p.byPresence[key]]
			if ok && heard.After(e.Heard) {
				e.observe(heard, s)
			}
		}
	}
}

// observe records a sighting that is newer than the last sign of life.
func (e *entry) observe(heard time.Time, s *Sighting) {
	e.Heard, e.sighted = heard, true
	e.lost = false
	rate := float32(s.Rate)
	if e.Busy == s.Busy && e.Rate == rate && e.ConfigVersion >= s.ConfigVersion {
		return
	}
	updated := *e.Report // other goroutines may hold the report
	updated.Busy, updated.Rate = s.Busy, rate
	updated.ConfigVersion = max(updated.ConfigVersion, s.ConfigVersion)
	e.Report = &updated
}

// Announcement returns the report without the parts that only routers with requests need.
func (r *Report) Announcement() Report {
	a := *r
	a.Loads, a.Totals, a.Teams, a.Parts, a.Proof = nil, nil, nil, nil, nil
	return a
}
