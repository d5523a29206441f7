// Package earlyend tests router processes, which are stopped and continued, under servers whose responses end early, before
// the request is read, or twice: a client must not take a part of a response for a whole one.
package earlyend
