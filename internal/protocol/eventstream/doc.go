// Package eventstream splits a text/event-stream into whole events and checks that their IDs are consecutive.
package eventstream
