package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/protocol/peer"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// timelineTimeout bounds the wait for the events of other routers.
const timelineTimeout = 2 * time.Second

// timelineParams holds the parameters of the timeline method, which routers call on each other.
type timelineParams struct {
	Request string `json:"request"`
	Limit   int    `json:"limit"`
}

// Timeline implements admin.API.
func (b adminBackend) Timeline(ctx context.Context, q admin.TimelineQuery) (admin.Timeline, error) {
	self := ident.RouterID(b.d.settings.ID)
	if q.Request == "" {
		last := b.d.events.Last()
		since := q.Since
		if since == 0 && last > uint64(q.Limit) {
			// Without a starting point, return the newest events.
			since = last - uint64(q.Limit)
		}
		return admin.Timeline{
			Router: self,
			Events: adminEvents(b.d.events.Since(since, q.Limit)),
			Last:   last,
		}, nil
	}
	events, unreachable := b.d.collectEvents(ctx, timelineParams{Request: q.Request, Limit: q.Limit})
	return admin.Timeline{Router: self, Events: adminEvents(events), Unreachable: unreachable}, nil
}

// collectEvents merges the events of a request from all routers. It also returns the routers that did not answer.
func (d *Daemon) collectEvents(ctx context.Context, params timelineParams) ([]timeline.Event, []ident.RouterID) {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	var (
		mu          sync.Mutex
		eventLists  = [][]timeline.Event{d.requestEvents(params)}
		unreachable []ident.RouterID
		group       sync.WaitGroup
	)
	for _, id := range (publishPeers{d}).Live() {
		group.Go(func() {
			var events []timeline.Event
			err := d.network.Call(ctx, id, peer.MethodTimeline, params, &events)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, id)
				return
			}
			eventLists = append(eventLists, events)
		})
	}
	group.Wait()
	return timeline.Merge(eventLists...), unreachable
}

// requestEvents returns this router's events of a request, the latest params.Limit of them.
func (d *Daemon) requestEvents(params timelineParams) []timeline.Event {
	out := []timeline.Event{}
	for _, e := range d.events.Since(0, eventCapacity) {
		if e.Request == params.Request {
			out = append(out, e)
		}
	}
	return out[max(len(out)-params.Limit, 0):]
}

func (d *Daemon) serveTimeline(_ context.Context, _ peer.Endpoint, params json.RawMessage) (any, error) {
	if !d.composed.Load() {
		return nil, errNotServing
	}
	var p timelineParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, errors.Wrap(err, "timeline: params")
	}
	if p.Limit < 1 || p.Limit > admin.MaxTimelineLimit {
		return nil, errors.Errorf("timeline: limit: must be from 1 to %d, got %d", admin.MaxTimelineLimit, p.Limit)
	}
	return d.requestEvents(p), nil
}

// adminEvents converts events for operators. The events' times are their causal timestamps.
func adminEvents(events []timeline.Event) []admin.Event {
	out := make([]admin.Event, 0, len(events))
	for _, e := range events {
		out = append(out, admin.Event{
			Seq:        e.Seq,
			Time:       time.UnixMicro(int64(e.Stamp)).UTC(),
			Router:     e.Router,
			Kind:       string(e.Kind),
			Request:    e.Request,
			Attempt:    e.Attempt,
			Team:       e.Team,
			Pool:       ident.PoolID(e.Shard),
			Backend:    e.Backend,
			Peer:       e.Peer,
			Generation: e.Generation,
			Detail:     e.Detail,
		})
	}
	return out
}
