package daemon

import (
	"fmt"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// recordChanges adds events for members whose state changed and for the start and end of serving.
func (d *Daemon) recordChanges() {
	current := make(map[ident.RouterID]string)
	for _, m := range d.view().Members() {
		state := m.State.String()
		if m.Draining {
			state += " draining"
		}
		current[m.ID] = fmt.Sprintf("%s incarnation %x", state, uint64(m.Incarnation))
	}
	for id, state := range current {
		if d.control.members[id] != state {
			d.events.Add(timeline.Event{Kind: timeline.KindMember, Peer: id, Detail: state})
		}
	}
	d.control.members = current
	if serving := d.serving(); serving != d.control.serving {
		d.control.serving = serving
		d.log.Named("daemon").Info("serving changed", zap.Bool("serving", serving),
			zap.Int("listed", d.view().Listed()), zap.Bool("majority", d.majority()))
		d.events.Add(timeline.Event{Kind: timeline.KindServing, Detail: fmt.Sprint(serving)})
	}
}
