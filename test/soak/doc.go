// Command soak runs real routers as separate processes against stand-ins of the store and the engines, injects faults
// from outside the processes in random order, and checks the promises while it runs, from what clients and engines see:
//
//   - a request that may run once runs at most once;
//   - a request that was refused did not run and does not run later;
//   - an answer is whole, and belongs to its request; a stream has no gap and no repeat;
//   - a removed API key does not work after its time;
//   - a router does not go back to an older configuration;
//   - a planned stop cuts no request;
//   - an engine that leaves gets nothing after its time;
//   - after all routers were killed, requests are served again.
//
// Faults come in series and overlap. A run is repeated with its seed; the times of the processes differ, so that a failure
// may need several runs. Only processes that the soak started are ended, by their process IDs.
package main
