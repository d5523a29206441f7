// Package timeline keeps a bounded ring buffer of typed events on each router and merges the events of several routers.
//
// Events are ordered by a hybrid logical clock: the wall clock in microseconds, advanced past every stamp that the
// router has received. Frames between routers carry the sender's stamp, so an event that was caused by a message sorts
// after the event that sent the message, even if the routers' clocks differ.
package timeline
