// Package membership detects which routers of the fleet are live, in the style of SWIM.
//
// The detector is pure: it has no I/O, timers or clock. The daemon calls Tick every 100 ms, passes received packets to
// Receive, and sends what both return. Times are monotonic durations since an arbitrary start.
//
// The VM list only names candidates. A member is live because it answers; a list entry neither adds nor removes one.
package membership
