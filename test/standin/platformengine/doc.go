// Package platformengine is a stand-in of the platform's backend servers: it echoes the attempt, signs its answers,
// streams numbered events, and fails on command. It counts how often each attempt ran.
package platformengine
