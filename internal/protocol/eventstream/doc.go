// Package eventstream splits a text/event-stream into whole events and checks that their IDs go on without a gap.
package eventstream
