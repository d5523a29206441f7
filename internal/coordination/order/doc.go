// Package order sends orders to model engines. The configuration says which model and version an engine has to load;
// the engine's owner compares that with the engine's state and orders the load.
//
// Before an order is sent, its record is written to the engine's order key in the key-value service by
// compare-and-swap; package fencing makes the order's fencing number from the revision of that write. An owner that
// resumes after a pause holds an older number. Engines that check the number refuse its order. On engines that ignore
// it, the current owner polls the engine's state, finds the difference, and sends a new order. An order without a
// confirmed record is never sent, so no new orders are sent while the store is down.
//
// The weight store's rate limit is enforced with one token record in the store, which lists the loads in progress and
// the recent starts; a share per owner would round up to one load for each of 400 owners. An owner that dies leaves its
// entry behind, which expires after the load timeout. Clocks only influence when entries expire, and so the rate, and
// never which order is in force.
package order
