package ident

import "testing"

// Guards against request IDs whose format differs between routers or restarts.
func TestRequestRefString(t *testing.T) {
	ref := RequestRef{Router: "r1", Incarnation: 26, Seq: 255}
	if got := ref.String(); got != "r1-1a-ff" {
		t.Fatalf("got %q", got)
	}
}
