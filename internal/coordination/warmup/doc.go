// Package warmup holds which backend servers are cold, until when, and from which source. A cold server tolerates a few
// requests a second from all routers together and crashes well above that rate. Load pattern: an engine that has just
// started, or whose failure domain is used again, has no load, so that all routers send to it at once.
//
// What a server says is dated by the time of its receipt, so that a warm-up is never taken for shorter than it is. A later
// statement replaces an earlier one. A statement that shortens a warm-up counts only if its request was sent after the
// statement before had arrived, because responses overtake each other.
//
// After its warm-up a server takes requests at a rate that is doubled in steps, as after the end of a limit (package
// serverlimit).
//
// Routers report warm-ups to each other, with the time left in place of the end. They do not report that a server is warm: a
// warm-up ends by itself.
package warmup
