package daemon

import (
	"fmt"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// memberState is the state of a member that timeline events report.
type memberState struct {
	state       membership.State
	draining    bool
	incarnation ident.Incarnation
}

// String returns the text of the event's detail.
func (s memberState) String() string {
	draining := ""
	if s.draining {
		draining = " draining"
	}
	return fmt.Sprintf("%s%s incarnation %x", s.state, draining, uint64(s.incarnation))
}

// recordChanges adds timeline events for members whose state changed and for a change of whether this router serves.
func (d *Daemon) recordChanges() {
	members := d.view().Members()
	current := make(map[ident.RouterID]memberState, len(members))
	for _, m := range members {
		state := memberState{m.State, m.Draining, m.Incarnation}
		current[m.ID] = state
		if d.control.lastMembers[m.ID] != state {
			d.events.Add(timeline.Event{Kind: timeline.KindMember, Peer: m.ID, Detail: state.String()})
		}
	}
	d.control.lastMembers = current
	if serving := d.serving(); serving != d.control.lastServing {
		d.control.lastServing = serving
		d.log.Named("daemon").Info("serving changed", zap.Bool("serving", serving),
			zap.Int("listed", d.view().VoterCount()), zap.Bool("majority", d.majority()))
		d.events.Add(timeline.Event{Kind: timeline.KindServing, Detail: fmt.Sprint(serving)})
	}
}
