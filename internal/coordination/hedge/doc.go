// Package hedge decides which of two attempts at one request delivers the response (hedged requests).
//
// A server that sends nothing for a while may be lost, or it may go on a moment later. So its attempt is read on while a
// second attempt, the substitute, is made at another server. The attempt that has the next part of the response first
// delivers it, and the other one is cancelled. If no substitute is possible, or if it fails, the first attempt goes on
// alone and is given time again.
//
// The package makes no attempts itself: it is given a function for the substitute, and is told about parts that arrive.
package hedge
