// Package platformengine is a stand-in for the platform's backend servers. It returns the attempt ID and a signature in
// its responses, streams numbered events, and fails in a selected mode. It counts the executions of each attempt.
package platformengine
