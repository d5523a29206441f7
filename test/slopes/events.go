package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
	"gooseberrytide.example/gooseberrytide/test/fleet"
)

// eventLimit bounds the wait for an event at all routers.
const eventLimit = 60 * time.Second

// inForce returns the time from a start until all routers had a generation in force. It reads the routers' own events,
// so that no polling loads them meanwhile.
func inForce(ctx context.Context, f *fleet.Fleet, began time.Time, gen ident.Generation) (time.Duration, error) {
	return lastEvent(ctx, f.Routers, began, fmt.Sprintf("generation %d", gen), func(e admin.Event) bool {
		return e.Kind == string(timeline.KindGeneration) && e.Generation >= gen
	})
}

// detected returns the time from a crash until all given routers took the router for dead.
func detected(ctx context.Context, routers []*fleet.Router, began time.Time, id string) (time.Duration, error) {
	return lastEvent(ctx, routers, began, id+" dead", func(e admin.Event) bool {
		return e.Kind == string(timeline.KindMember) && string(e.Peer) == id && strings.HasPrefix(e.Detail, "dead")
	})
}

// lastEvent returns the latest of the first matching events of the routers after a time.
func lastEvent(ctx context.Context, routers []*fleet.Router, began time.Time, what string, match func(admin.Event) bool) (time.Duration, error) {
	var latest time.Duration
	for _, r := range routers {
		err := fleet.Await(ctx, eventLimit, r.ID+": "+what, func() error {
			var list admin.Timeline
			// A large answer every few milliseconds would be a load of its own; fleet.Await asks every 50 ms, one router at a time.
			url := fmt.Sprintf("http://%s/v1/admin/timeline?limit=%d", r.CallerAddress, admin.MaxTimelineLimit)
			if err := fleet.Do(ctx, http.MethodGet, url, nil, &list); err != nil {
				return err
			}
			for _, e := range list.Events {
				if e.Time.After(began) && match(e) {
					latest = max(latest, e.Time.Sub(began))
					return nil
				}
			}
			return errors.New("no event yet")
		})
		if err != nil {
			return 0, err
		}
	}
	return latest, nil
}
