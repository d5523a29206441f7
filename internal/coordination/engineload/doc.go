// Package engineload keeps the load that all routers have put on each backend server. A router knows its own part
// exactly and the parts of others from their reports, which are some tens of milliseconds old.
//
// The load of a model engine has two parts that matter for when a new request starts: prompt tokens that are still to be
// read, which delay its first event, and running requests, which slow all streams.
package engineload
