package publish

import (
	"context"
	"encoding/json"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Peers gives access to the other routers and to what membership knows about them. Implementations are safe for
// concurrent use.
type Peers interface {
	// Live returns the other routers in the VM list that are alive or suspect.
	Live() []ident.RouterID
	// Listed returns the number of VMs in the VM list, including this one.
	Listed() int
	// HeardSince returns how many of the listed VMs sent a heartbeat with a generation above 0 within the window,
	// plus one for this router. A router announces 0 until its start is complete, because after a restart it does
	// not know which generations it confirmed before.
	HeardSince(window time.Duration) int
	// AtGeneration returns how many of the listed VMs, including this one, last reported this or a higher
	// generation in force.
	AtGeneration(gen ident.Generation) int
	// Pull sends a request to another router, which handles it with Syncer.HandlePull.
	Pull(ctx context.Context, from ident.RouterID, req PullRequest) (PullResponse, error)
}

// PullRequest asks a router for the changes since a generation.
type PullRequest struct {
	// Have is the generation in force at the requesting router; 0 means none and requests the whole configuration.
	Have ident.Generation `json:"have"`
	// At is the generation of the earlier pages; 0 on the first page.
	At ident.Generation `json:"at,omitempty"`
	// After is the cursor from Next of the previous page; empty on the first page.
	After string `json:"after,omitempty"`
	// Probe requests only the generation.
	Probe bool `json:"probe,omitempty"`
}

// PullResponse is one page of changes. An encoded page has at most 1.5 MB.
type PullResponse struct {
	// Ready reports that the router has completed its start, so that its generation counts.
	Ready bool `json:"ready"`
	// Generation is the generation in force at the router. When it is not above Have, there is nothing to pull.
	Generation ident.Generation `json:"generation"`
	// Digest is the digest of the whole configuration, for verification of the result.
	Digest string `json:"digest,omitempty"`
	// Full reports that the pages hold the whole configuration instead of the changes since Have.
	Full bool `json:"full,omitempty"`
	// Objects are new and changed objects in their encoded form.
	Objects []json.RawMessage `json:"objects,omitempty"`
	// Removed are names of objects that no longer exist, as KIND/NAME.
	Removed []string `json:"removed,omitempty"`
	// Next is the cursor of the next page, or empty on the last page.
	Next string `json:"next,omitempty"`
}
