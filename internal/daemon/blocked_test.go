package daemon

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// blockStatus returns the status of a request to cut links.
func blockStatus(d *Daemon, token string) int {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/admin/blocked", strings.NewReader(`{"routers":["r2"]}`))
	r.Header.Set("Authorization", "Bearer "+token)
	d.operatorHandler().ServeHTTP(w, r)
	return w.Code
}

// Links must be cut only where the settings allow faults, and only for operators.
func TestLinksAreCutOnlyWithFaultInjection(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	if status := blockStatus(d, "token"); status != http.StatusNotFound {
		t.Errorf("without the setting: status %d", status)
	}
	allowed := *d.settings
	allowed.FaultInjection = true
	other := &Daemon{settings: &allowed, network: d.network}
	if status := blockStatus(other, "token"); status != http.StatusOK {
		t.Errorf("with the setting: status %d", status)
	}
	if status := blockStatus(other, "wrong"); status != http.StatusUnauthorized {
		t.Errorf("with a wrong token: status %d", status)
	}
}
