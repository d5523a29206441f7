// Package timeline keeps a bounded ring of typed events on each router and merges the rings of several routers.
//
// Events are ordered by a hybrid logical clock: the wall clock in microseconds, pushed ahead of every stamp that the
// router has received. Frames between routers carry the sender's stamp, so an event that a message caused sorts after
// the event that sent the message, even when the routers' clocks differ.
package timeline
