package admin

// PathSuspects is the path of the endpoints for requests, and parts of prompts, that crash backend servers, on the metrics
// address of a router on the users' platform. GET lists them; DELETE of PathSuspects/ID lifts the suspicion of one on all
// routers. The path is older than the requests in the list.
const PathSuspects = "/parts"

// States of a suspect.
const (
	SuspectSuspected = "suspected"
	SuspectBlocked   = "blocked"
)

// Suspect is a part of prompts, or a request as a whole, that is suspected of crashing backend servers, or blocked because
// of it.
type Suspect struct {
	// ID is that of a part in hexadecimal, or the fingerprint of a request.
	ID      string `json:"id"`
	State   string `json:"state"`
	Service string `json:"service"`
	// Path is the path of a request. It is empty for a part.
	Path    string   `json:"path,omitempty"`
	Crashes int      `json:"crashes"`
	Servers []string `json:"servers"`
	Teams   []string `json:"teams"`
	// FirstCrashMS is the time since the first crash, RetrialInMS the time until a blocked one is tried again, in
	// milliseconds.
	FirstCrashMS int64 `json:"first_crash_ms"`
	RetrialInMS  int64 `json:"retrial_in_ms,omitempty"`
}
