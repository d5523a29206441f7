package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
)

// onEvacuations is called with the evacuated failure domains when they have changed in the store.
func (n *Node) onEvacuations(domains []string) {
	for _, c := range n.admission.SetEvacuated(domains) {
		message := "evacuation ended"
		if c.Started {
			message = "evacuation started"
		}
		n.log.Info(message, zap.String("domain", c.Domain), zap.Int("servers", c.Servers))
	}
}

// serveEvacuations responds with the evacuated failure domains.
func (n *Node) serveEvacuations(w http.ResponseWriter, _ *http.Request) {
	list := []admin.Evacuation{}
	for _, e := range n.admission.Evacuations() {
		list = append(list, admin.Evacuation{Domain: e.Domain, AgeMS: e.Age.Milliseconds(), Servers: e.Servers})
	}
	n.writeJSON(w, http.StatusOK, list)
}
