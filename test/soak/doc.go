// Command soak runs real routers as separate processes against stand-ins of the store and the engines, injects faults
// from outside the processes in random order, and checks these guarantees from what clients and engines see:
//
//   - a request that may run once runs at most once;
//   - a refused request did not run and does not run later;
//   - an answer is complete and belongs to its request; a stream has no gap and no repeated event;
//   - a removed API key stops working within the configured time;
//   - a router does not return to an older configuration;
//   - a graceful shutdown cuts off no request that ends within its grace time;
//   - a draining engine gets no requests after the drain time;
//   - an engine that has announced in an answer that it leaves gets no requests from that router after the drain time;
//   - an engine that has asked for a pause gets at most two requests from that router in it;
//   - a router's memory stays below its limit;
//   - after all routers were killed, requests are served again.
//
// Faults follow each other and overlap. The same seed gives the same sequence of faults, but the timing of the
// processes differs between runs, so that reproducing a failure may take several runs. The soak signals only processes
// that it started, by their process IDs.
package main
