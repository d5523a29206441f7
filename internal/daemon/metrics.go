package daemon

import (
	"expvar"
	"sync"

	"gooseberrytide.example/gooseberrytide/internal/coordination/scheduler"
	"gooseberrytide.example/gooseberrytide/internal/protocol/peer"
	"gooseberrytide.example/gooseberrytide/internal/transport/etcdkv"
	"gooseberrytide.example/gooseberrytide/internal/transport/peerlink"
)

// Metrics holds the values that a router exports under the expvar name "gooseberrytide".
type Metrics struct {
	Generation uint64 `json:"generation"`
	Serving    bool   `json:"serving"`
	// ActiveRequests is the number of waiting and running requests that entered the fleet at this router.
	ActiveRequests int `json:"active_requests"`
	// ControlBytesIn and ControlBytesOut count all bytes received from and sent to other routers.
	ControlBytesIn  uint64                         `json:"control_bytes_in"`
	ControlBytesOut uint64                         `json:"control_bytes_out"`
	Control         map[string]peerlink.ClassStats `json:"control"`
	DroppedMessages uint64                         `json:"dropped_messages"`
	Store           etcdkv.Counts                  `json:"store"`
	// SettlingClaims is the number of claims whose record is not settled yet.
	SettlingClaims int `json:"settling_claims"`
	// Shards holds the statistics of the shards that this router dispatches for.
	Shards map[string]scheduler.Stats `json:"shards"`
}

// metrics returns the current values.
func (d *Daemon) metrics() Metrics {
	link := d.network.Stats()
	m := Metrics{
		Serving:         d.serving(),
		ActiveRequests:  d.router.Ingress().Active(),
		ControlBytesIn:  link.Total().BytesIn,
		ControlBytesOut: link.Total().BytesOut,
		Control:         make(map[string]peerlink.ClassStats),
		DroppedMessages: link.Dropped,
		Store:           d.store.Counts(),
		SettlingClaims:  d.claims.Reconciling(),
		Shards:          make(map[string]scheduler.Stats),
	}
	for class := range peer.ClassCount {
		m.Control[class.String()] = link.Classes[class]
	}
	if s := d.snapshot.Load(); s != nil {
		m.Generation = uint64(s.Generation())
	}
	for id, stats := range d.router.Dispatcher().Stats() {
		m.Shards[id.String()] = stats
	}
	return m
}

// exportOnce guards the export of the metrics. Names in expvar are global and can be published only once, so only the
// first daemon of a process exports its metrics.
var exportOnce sync.Once

func (d *Daemon) exportMetrics() {
	exportOnce.Do(func() {
		expvar.Publish("gooseberrytide", expvar.Func(func() any { return d.metrics() }))
	})
}
