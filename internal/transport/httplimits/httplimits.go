// Package httplimits holds the limits of responses that HTTP clients of net/http read.
package httplimits

// MaxResponseHeaderBytes bounds the header of a response, with the informational responses before it. The default of
// net/http, 10 MB, is a large part of the memory of a small router.
const MaxResponseHeaderBytes = 64 << 10
