package gateway

import (
	"net/http"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
)

// serveList responds with the limits that servers name.
func (e *limitExchange) serveList(w http.ResponseWriter, _ *http.Request) {
	list := []admin.Limit{}
	table := e.owners.table.Load()
	for _, s := range e.node.admission.Limits() {
		limit := admin.Limit{
			Server: s.Server, Service: s.Service, PerSecond: s.Named, InForce: s.Rate,
			AgeMS: s.Age.Milliseconds(), ConfirmedMS: s.Confirmed.Milliseconds(),
		}
		if owner, _, ok := table.ownerOf(s.Server); ok {
			limit.Owner = owner
		}
		if limit.Owner == e.node.settings.Router {
			used := s.Used
			limit.Used = &used
		}
		list = append(list, limit)
	}
	e.node.writeJSON(w, http.StatusOK, list)
}
