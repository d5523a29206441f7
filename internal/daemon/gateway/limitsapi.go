package gateway

import (
	"cmp"
	"net/http"
	"slices"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
)

// serveList responds with the limits that servers name, and with the warm-ups of cold servers.
func (e *limitExchange) serveList(w http.ResponseWriter, _ *http.Request) {
	list := []admin.Limit{}
	for _, s := range e.node.admission.Limits() {
		list = append(list, e.withOwner(admin.Limit{
			Server: s.Server, Service: s.Service, PerSecond: s.Named, InForce: s.Rate,
			AgeMS: s.Age.Milliseconds(), ConfirmedMS: s.Confirmed.Milliseconds(),
		}, s.Used))
	}
	for _, s := range e.node.admission.Warmups() {
		list = e.addWarmup(list, s)
	}
	slices.SortStableFunc(list, func(a, b admin.Limit) int { return cmp.Compare(a.Server, b.Server) })
	e.node.writeJSON(w, http.StatusOK, list)
}

// addWarmup adds a warm-up to the limit of its server, or to the list if the server names none.
func (e *limitExchange) addWarmup(list []admin.Limit, s admission.WarmupStatus) []admin.Limit {
	warmup := &admin.Warmup{Source: s.Source.String(), LeftMS: s.Left.Milliseconds()}
	if i := slices.IndexFunc(list, func(l admin.Limit) bool { return l.Server == s.Server }); i >= 0 {
		list[i].Warmup = warmup
		return list
	}
	return append(list, e.withOwner(admin.Limit{
		Server: s.Server, Service: s.Service, InForce: s.Rate, AgeMS: s.Age.Milliseconds(),
		ConfirmedMS: s.Age.Milliseconds(), Warmup: warmup, Unnamed: true,
	}, s.Used))
}

// withOwner adds the owner of the server to a limit, and the use of permits if that is this router.
func (e *limitExchange) withOwner(limit admin.Limit, used float64) admin.Limit {
	if owner, _, ok := e.owners.table.Load().ownerOf(limit.Server); ok {
		limit.Owner = owner
	}
	if limit.Owner == e.node.settings.Router {
		limit.Used = &used
	}
	return limit
}
