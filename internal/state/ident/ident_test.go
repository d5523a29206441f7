package ident

import "testing"

// Guards against request ids that differ between routers or restarts only in formatting.
func TestRequestRefString(t *testing.T) {
	ref := RequestRef{Router: "r1", Incarnation: 26, Seq: 255}
	if got := ref.String(); got != "r1-1a-ff" {
		t.Fatalf("got %q", got)
	}
}
