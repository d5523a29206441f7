package daemon

import (
	"expvar"
	"sync"

	"gooseberrytide.example/gooseberrytide/internal/coordination/scheduler"
	"gooseberrytide.example/gooseberrytide/internal/protocol/peer"
	"gooseberrytide.example/gooseberrytide/internal/transport/etcdkv"
	"gooseberrytide.example/gooseberrytide/internal/transport/peerlink"
)

// Metrics are a router's values under the expvar name "gooseberrytide".
type Metrics struct {
	Generation uint64 `json:"generation"`
	Serving    bool   `json:"serving"`
	// ActiveRequests is the number of requests that wait or run at this ingress.
	ActiveRequests int `json:"active_requests"`
	// ControlBytesIn and ControlBytesOut count all bytes between routers.
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

// metrics collects the current values.
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
		SettlingClaims:  d.claims.Settling(),
		Shards:          make(map[string]scheduler.Stats),
	}
	for class := range peer.ClassCount {
		m.Control[class.String()] = link.Classes[class]
	}
	if s := d.holder.Load(); s != nil {
		m.Generation = uint64(s.Generation())
	}
	for id, stats := range d.router.Dispatcher().Stats() {
		m.Shards[id.String()] = stats
	}
	return m
}

// publishMetrics makes the metrics of the process's first router known to expvar, whose names are global.
var publishMetrics sync.Once

func (d *Daemon) exportMetrics() {
	publishMetrics.Do(func() {
		expvar.Publish("gooseberrytide", expvar.Func(func() any { return d.metrics() }))
	})
}
