package publish

import (
	"context"
	"encoding/json"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Peers are the other routers, as the daemon sees them. Implementations are safe for concurrent use.
type Peers interface {
	// Live returns the other routers in the VM list that are alive or suspect.
	Live() []ident.RouterID
	// Listed returns the number of listed VMs, this one included.
	Listed() int
	// HeardSince returns how many of the listed VMs sent a heartbeat with a generation above 0 within the window,
	// plus one for this router. A router announces 0 until its start is complete, because after a restart it does
	// not know what it had confirmed before.
	HeardSince(window time.Duration) int
	// AtGeneration returns how many of the listed VMs last reported this or a higher generation in force, this one
	// included.
	AtGeneration(gen ident.Generation) int
	// Pull sends a request to another router, which answers it with Syncer.HandlePull.
	Pull(ctx context.Context, from ident.RouterID, req PullRequest) (PullResponse, error)
}

// PullRequest asks a router for the changes since a generation.
type PullRequest struct {
	// Have is the generation that the caller has; 0 means none, and asks for the whole configuration.
	Have ident.Generation `json:"have"`
	// At is the generation of the earlier pages; 0 on the first page.
	At ident.Generation `json:"at,omitempty"`
	// After is the Next of the page before; empty on the first page.
	After string `json:"after,omitempty"`
	// Probe asks for the generation only.
	Probe bool `json:"probe,omitempty"`
}

// PullResponse is one page of changes. An encoded page has at most 1.5 MB.
type PullResponse struct {
	// Ready says that the router has completed its start, so that its generation counts.
	Ready bool `json:"ready"`
	// Generation is the generation in force at the router. When it is not above Have, there is nothing to pull.
	Generation ident.Generation `json:"generation"`
	// Digest is the digest of the whole configuration, to check the result.
	Digest string `json:"digest,omitempty"`
	// Full says that the pages hold the whole configuration instead of the changes since Have.
	Full bool `json:"full,omitempty"`
	// Objects are new and changed objects in their encoded form.
	Objects []json.RawMessage `json:"objects,omitempty"`
	// Removed are names of objects that no longer exist, as KIND/NAME.
	Removed []string `json:"removed,omitempty"`
	// Next is the cursor of the next page, or empty on the last page.
	Next string `json:"next,omitempty"`
}
