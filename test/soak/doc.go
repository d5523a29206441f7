// Command soak runs real routers as separate processes against stand-ins of the store and the engines, injects faults
// from outside the processes in random order, and checks these guarantees from what clients and engines see:
//
//   - a request that may run once runs at most once;
//   - a refused request did not run and does not run later;
//   - an answer is complete and belongs to its request; a stream has no gap and no repeated event;
//   - a removed API key stops working within the configured time;
//   - a router does not return to an older configuration;
//   - a whole request ends with an answer or a refusal, and an answer that has begun does not end early (see below);
//   - while engines are only silent for a while, a request that may be repeated does not fail before its deadline;
//   - a draining engine gets no requests after the drain time;
//   - an engine that has announced in an answer that it leaves gets no requests from that router after the drain time;
//   - an engine that has asked for a pause gets at most two requests from that router in it;
//   - an engine in an evacuated failure domain gets no requests 5 s after the operator's write;
//   - a cold engine gets at most 23 requests in a second from all routers together;
//   - a router's memory stays below its limit;
//   - after all routers were killed, requests are served again.
//
// A request is whole once its last byte was written. Its connection may end without an answer only if the router was
// killed or suspended meanwhile, if the router closed the connection within 200 ms and no engine received the request,
// or if it was sent at most 3 s after SIGTERM and ended in the last sixth of the grace time. An answer may end early
// for the same reasons, if the deadline of the client or the route was reached, and if an engine that received the
// request had a fault in which it breaks off its answers or sends wrong ones. An engine that is silent and goes on, a
// full engine, a disruption of the store, SIGHUP and changes of the configuration are no reasons.
//
// Clients use a kept connection until it fails, whatever the router announces. Faults follow each other and overlap.
// The same seed gives the same sequence of faults, but the timing of the processes differs between runs, so that
// reproducing a failure may take several runs. The soak signals only processes that it started, by their process IDs.
package main
