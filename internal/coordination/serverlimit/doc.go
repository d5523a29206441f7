// Package serverlimit keeps which backend servers have named in their responses a limit of requests a second, and
// whether they still do.
//
// A limit holds as long as the server names it. Responses of one server arrive out of order: those that wait at the
// server overtake each other, and some were begun before the server changed what it says. All that is certain about a
// response is that its server wrote it between the time at which the request was sent and the time at which the response
// arrived. So a statement is a time interval, and two statements are ordered only if their intervals do not overlap: the
// later one counts. Of two statements whose order is not known, the more restrictive one counts. A limit therefore ends
// with a response that does not name it and whose request was sent after the last response that named it had arrived.
//
// After its end a limit grows in steps, because all that the other servers could not take would otherwise meet the server
// at once.
//
// A server that gets no requests cannot say that its limit has ended. A limit of 0, or near 0, therefore counts as
// TrialRate.
//
// Routers tell each other what they have received, with ages in place of times. A message takes time and makes a
// statement look later than it was. That is safe for a limit, and an end is dated back by maxMessageDelay.
//
// A limit belongs to one incarnation of a server and is dropped with it.
package serverlimit
