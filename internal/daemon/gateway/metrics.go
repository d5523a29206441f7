package gateway

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricsPortOffset is the distance of the metrics port from the first port for traffic between routers.
const metricsPortOffset = 1

// metricsHandler serves the metrics as text.
func (n *Node) metricsHandler() http.Handler {
	return promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})
}
