package gateway

import (
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
)

// operatorHandler serves the metrics, the parts of prompts that crash servers, and the limits of servers.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", n.metricsHandler())
	mux.HandleFunc("GET "+admin.PathParts, n.poison.serveList)
	mux.HandleFunc("GET "+admin.PathLimits, n.owners.limits.serveList)
	mux.HandleFunc("DELETE "+admin.PathParts+"/{id}", n.poison.serveLift)
	return mux
}

// serveList responds with the parts that are suspected or blocked.
func (g *partGuard) serveList(w http.ResponseWriter, _ *http.Request) {
	list := []admin.Part{}
	for _, s := range g.guard.List() {
		part := admin.Part{
			ID: s.Part.String(), State: admin.PartSuspected, Service: s.Service, Crashes: s.Crashes, Servers: s.Servers,
			Teams: s.Teams, FirstCrashMS: s.Since.Milliseconds(), RetrialInMS: s.RetrialIn.Milliseconds(),
		}
		if s.State == poison.Blocked {
			part.State = admin.PartBlocked
		}
		list = append(list, part)
	}
	g.node.writeJSON(w, http.StatusOK, list)
}

// serveLift lifts the suspicion of a part on all routers. The status is 400 for an ID that is not valid and 404 for a part
// that is not suspected.
func (g *partGuard) serveLift(w http.ResponseWriter, r *http.Request) {
	part, err := poison.ParsePart(r.PathValue("id"))
	switch {
	case err != nil:
		g.node.writeJSON(w, http.StatusBadRequest, admin.ErrorResponse{Error: "the ID of a part is a hexadecimal number"})
		return
	case !g.guard.Lift(part):
		g.node.writeJSON(w, http.StatusNotFound, admin.ErrorResponse{Error: "part " + part.String() + " is not suspected"})
		return
	}
	g.node.log.Info("part lifted by an operator", zap.Stringer("part", part))
	g.send(g.guard.Evidence([]poison.Part{part}), g.others()...)
	g.node.writeJSON(w, http.StatusOK, struct{}{})
}

func (n *Node) writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		n.log.Info("response not sent", logfield.Error(err))
	}
}
