package gateway

import (
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
)

// operatorHandler serves the metrics, the parts and requests that crash servers, the limits of servers, and
// the evacuated failure domains.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", n.metricsHandler())
	mux.HandleFunc("GET "+admin.PathSuspects, n.poison.serveList)
	mux.HandleFunc("GET "+admin.PathLimits, n.owners.limits.serveList)
	mux.HandleFunc("GET "+admin.PathEvacuations, n.serveEvacuations)
	mux.HandleFunc("DELETE "+admin.PathSuspects+"/{id}", n.poison.serveLift)
	return mux
}

// serveList responds with the parts and requests that are suspected or blocked.
func (g *poisonGuard) serveList(w http.ResponseWriter, _ *http.Request) {
	list := []admin.Suspect{}
	for _, s := range g.guard.List() {
		suspect := admin.Suspect{
			ID: s.Fingerprint.String(), State: admin.SuspectSuspected, Service: s.Service, Path: s.Path, Crashes: s.Crashes,
			Servers: s.Servers, Teams: s.Teams, FirstCrashMS: s.Since.Milliseconds(), RetrialInMS: s.RetrialIn.Milliseconds(),
		}
		if s.State == poison.Blocked {
			suspect.State = admin.SuspectBlocked
		}
		list = append(list, suspect)
	}
	g.node.writeJSON(w, http.StatusOK, list)
}

// serveLift lifts the suspicion of a part or a request on all routers. The status is 400 for an ID that is not valid and
// 404 for one that is not suspected.
func (g *poisonGuard) serveLift(w http.ResponseWriter, r *http.Request) {
	fingerprint, err := poison.ParseFingerprint(r.PathValue("id"))
	switch {
	case err != nil:
		g.node.writeJSON(w, http.StatusBadRequest, admin.ErrorResponse{Error: "the ID is not that of a part or a request"})
		return
	case !g.guard.Lift(fingerprint):
		g.node.writeJSON(w, http.StatusNotFound, admin.ErrorResponse{Error: fingerprint.String() + " is not suspected"})
		return
	}
	g.node.log.Info("suspicion lifted by an operator", zap.Stringer("fingerprint", fingerprint))
	g.send(g.guard.Evidence([]poison.Fingerprint{fingerprint}), g.others()...)
	g.node.writeJSON(w, http.StatusOK, struct{}{})
}

func (n *Node) writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		n.log.Info("response not sent", logfield.Error(err))
	}
}
