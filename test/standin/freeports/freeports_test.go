package freeports

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a deployment of which two routers get the same port, because both found it free before either started.
func TestPortsAreGivenOnce(t *testing.T) {
	g := NewWithT(t)
	given := make(map[int]bool)
	for range 100 {
		ports, err := ForRouter()
		g.Expect(err).NotTo(HaveOccurred())
		list := []int{ports.Front, ports.Readiness, ports.Directory}
		for i := range peerPorts {
			list = append(list, ports.Peer+i)
		}
		for _, port := range list {
			g.Expect(given).NotTo(HaveKey(port))
			given[port] = true
		}
	}
}
