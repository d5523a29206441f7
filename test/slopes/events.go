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

// eventTimeout limits the wait for an event at each router.
const eventTimeout = 60 * time.Second

// propagationTime returns the time from start until all routers had applied a generation. It uses the timestamps of the
// routers' own events, so that polling does not load the routers during the measurement.
func propagationTime(
	ctx context.Context, f *fleet.Fleet, start time.Time, gen ident.Generation,
) (time.Duration, error) {
	return timeToLastEvent(ctx, f.Routers, start, fmt.Sprintf("generation %d", gen), func(e admin.Event) bool {
		return e.Kind == string(timeline.KindGeneration) && e.Generation >= gen
	})
}

// crashDetectionTime returns the time from start, when a router crashed, until all given routers declared it dead.
func crashDetectionTime(
	ctx context.Context, routers []*fleet.Router, start time.Time, id string,
) (time.Duration, error) {
	return timeToLastEvent(ctx, routers, start, id+" dead", func(e admin.Event) bool {
		return e.Kind == string(timeline.KindMember) && string(e.Peer) == id && strings.HasPrefix(e.Detail, "dead")
	})
}

// timeToLastEvent returns the time from start until all routers had a matching event: the maximum over the routers of
// the time of the first match.
func timeToLastEvent(
	ctx context.Context, routers []*fleet.Router, start time.Time, condition string, match func(admin.Event) bool,
) (time.Duration, error) {
	var latest time.Duration
	for _, r := range routers {
		err := fleet.Await(ctx, eventTimeout, r.ID+": "+condition, func() error {
			var list admin.Timeline
			// A large response every few milliseconds would load the routers; fleet.Await polls one router at a time,
			// every 50 ms.
			url := fmt.Sprintf("http://%s/v1/admin/timeline?limit=%d", r.CallerAddress, admin.MaxTimelineLimit)
			if err := fleet.Do(ctx, http.MethodGet, url, nil, &list); err != nil {
				return err
			}
			for _, e := range list.Events {
				if e.Time.After(start) && match(e) {
					latest = max(latest, e.Time.Sub(start))
					return nil
				}
			}
			return errors.New("no matching event in the timeline")
		})
		if err != nil {
			return 0, err
		}
	}
	return latest, nil
}
