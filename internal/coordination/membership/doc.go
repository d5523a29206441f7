// Package membership detects which routers of the fleet are live, with a failure detector in the style of SWIM.
//
// The detector does no I/O and has no timers or clock. The daemon calls Tick every 100 ms, passes received packets to
// Receive, and sends the packets that both return. Times are monotonic durations since an arbitrary start.
//
// The VM list only names candidates. A member is live because it answers; a list entry neither adds nor removes a
// member.
package membership
