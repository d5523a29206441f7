// Package order gives orders to model engines: the configuration says which model and version an engine has to load,
// and the engine's owner sees to it.
//
// Before an order is sent, its record is written to the engine's order key in the key-value service by
// compare-and-swap; the revision of that write is the order's fencing number. An owner that was paused and wakes up
// holds an older number. Engines that check the number refuse its order. On engines that ignore it, the present owner
// reads the engine's state again and again, finds the difference, and orders anew. An order without a confirmed record
// is never sent, so no new orders are given while the store is down.
//
// The weight store's rate is kept by one token record in the store that lists the loads under way and the recent
// starts; a share per owner would round up to one load for each of 400 owners. An owner that dies leaves its entry
// behind, which expires after the load timeout. Clocks only influence when entries expire, hence the rate, and never
// which order is in force.
package order
