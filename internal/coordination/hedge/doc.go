// Package hedge decides which of two attempts at one request delivers the response (hedged requests).
//
// A server that sends nothing for a while may be lost, or it may resume a moment later. So its attempt is kept open and
// read while a second attempt, the substitute, is made at another server. The attempt that has the next part of the
// response first delivers it, and the other one is cancelled. If no substitute is possible, or if it fails, the first
// attempt continues alone and its time limit starts again.
//
// The package makes no attempts itself: the caller passes a function that makes a substitute, and reports the parts
// that arrive.
package hedge
