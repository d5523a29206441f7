package gateway

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricsPortOffset is the offset of the metrics port from the first internal port.
const metricsPortOffset = 1

// metricsHandler serves the metrics in the Prometheus text format.
func (n *Node) metricsHandler() http.Handler {
	return promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})
}

// registerGauges registers the gauges that are computed when the metrics are read.
func (n *Node) registerGauges() {
	gauges := []struct {
		name, help string
		read       func() float64
	}{
		{"waiting_requests", "Requests that wait for a backend server.", func() float64 {
			return float64(n.admission.Waiting())
		}},
		{"active_requests", "Requests in progress.", func() float64 { return float64(n.gateway.Active()) }},
		{"forwarded_connections", "Connections that are passed on to other routers.", func() float64 {
			return float64(n.offload.inspector.Forwarded())
		}},
		{"client_memory_bytes", "Memory held for clients: connections, requests, bodies and unread answers.", func() float64 {
			return float64(n.clients.account.Used())
		}},
		{"client_memory_limit_bytes", "Memory above which clients are refused.", func() float64 {
			return float64(n.clients.account.Limit())
		}},
		{"unread_answers", "Connections with an answer that the client has not read completely.", func() float64 {
			return float64(n.clients.unread())
		}},
		{"config_age_seconds", "Age of the proof that the configuration is the newest; -1 before the first.", n.configAge},
		{"config_version", "Version of the configuration in force.", n.configVersion},
		{"known_routers", "Routers that registered, this one included.", func() float64 {
			if list := n.routers.Load(); list != nil {
				return float64(len(*list))
			}
			return 0
		}},
		{"evacuated_domains", "Failure domains that operators have evacuated.", func() float64 {
			return float64(len(n.admission.Evacuations()))
		}},
		{"known_backend_servers", "Backend servers that registered.", func() float64 {
			return float64(n.servers.Load().Len())
		}},
	}
	n.registry.MustRegister(newSpeedCollector(n.admission.Speeds))
	for _, g := range gauges {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "gooseberrytide_" + g.name, Help: g.help,
		}, g.read))
	}
}

func (n *Node) configAge() float64 {
	age, ok := n.proof.Age()
	if !ok {
		return -1
	}
	return age.Seconds()
}

func (n *Node) configVersion() float64 {
	if table := n.routing.Load(); table != nil {
		return float64(table.Version)
	}
	return 0
}
