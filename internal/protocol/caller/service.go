package caller

import (
	"net/http"
	"net/textproto"
	"net/url"
	"path"
	"strings"
)

// ServicePrefix is the prefix of the paths of service calls.
const ServicePrefix = "/v1/services/"

// ServiceCall is a parsed call to a plain service.
type ServiceCall struct {
	Service string
	Method  string
	// Path is the path and query sent to the service, with a leading slash.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the idempotency key, or empty.
	Key string
}

// allowedMethods are the methods allowed in service calls. Tunnels and upgrades are not supported.
var allowedMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true, http.MethodPatch: true,
	http.MethodDelete: true, http.MethodOptions: true,
}

// hopByHopHeaders are the headers that apply to a single connection only.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// droppedRequestHeaders are the end-to-end request headers that are not forwarded to a service: the API key, and the
// headers that the transport sets itself.
var droppedRequestHeaders = []string{"Authorization", "Content-Length", "Host", "Expect", HeaderIdempotencyKey}

// routerHeaderPrefix is the prefix of the headers that only routers set.
const routerHeaderPrefix = "Gooseberrytide-"

// ParseService parses a request to a path below ServicePrefix. target is the request's escaped path and query. Errors
// are of type *Error.
func ParseService(method, target string, header http.Header, body []byte) (*ServiceCall, error) {
	if len(body) > MaxBodyBytes {
		return nil, ErrTooLarge("body", MaxBodyBytes)
	}
	if !allowedMethods[method] {
		return nil, invalid("method", "not supported")
	}
	if len(target) > MaxPathBytes {
		return nil, ErrTooLarge("path", MaxPathBytes)
	}
	rest, ok := strings.CutPrefix(target, ServicePrefix)
	if !ok {
		return nil, invalid("path", "must begin with %s", ServicePrefix)
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	name, err := url.PathUnescape(rest[:end])
	if err != nil || name == "" || len(name) > MaxNameBytes || strings.ContainsAny(name, "/%") {
		return nil, invalid("service", "not a valid name")
	}
	servicePath := rest[end:]
	if !strings.HasPrefix(servicePath, "/") {
		servicePath = "/" + servicePath
	}
	if err := checkPath(servicePath); err != nil {
		return nil, err
	}
	key, err := ParseIdempotencyKey(header)
	if err != nil {
		return nil, err
	}
	c := &ServiceCall{
		Service: name, Method: method, Path: servicePath, Header: RequestHeader(header), Body: body, Key: key,
	}
	return c, nil
}

// checkPath rejects paths that a service could interpret differently than the router. Both must agree, because the
// route that the router matches determines whether a call may be repeated.
func checkPath(target string) *Error {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return invalid("path", "not a valid path")
	}
	clean := path.Clean(u.Path)
	if strings.HasSuffix(u.Path, "/") && clean != "/" {
		clean += "/"
	}
	if clean != u.Path {
		return invalid("path", "must not contain dot segments or empty segments")
	}
	escaped := strings.ToLower(u.EscapedPath())
	if strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%25") || strings.Contains(u.Path, `\`) {
		return invalid("path", "must not contain escaped slashes, escaped percent signs or backslashes")
	}
	return nil
}

// ParseIdempotencyKey returns the idempotency key of a request, or an empty string if it has none. Errors are of type
// *Error.
func ParseIdempotencyKey(header http.Header) (string, error) {
	values := header.Values(HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", invalid(HeaderIdempotencyKey, "given more than once")
	}
	key := values[0]
	if key == "" || len(key) > MaxIdempotencyKeyBytes {
		return "", invalid(HeaderIdempotencyKey, "must have 1 to %d characters", MaxIdempotencyKeyBytes)
	}
	for _, c := range []byte(key) {
		if c < '!' || c > '~' {
			return "", invalid(HeaderIdempotencyKey, "must be visible ASCII characters")
		}
	}
	return key, nil
}

// RequestHeader returns the headers of a caller's request that are forwarded to a service.
func RequestHeader(h http.Header) http.Header {
	out := endToEndHeaders(h)
	for _, name := range droppedRequestHeaders {
		out.Del(name)
	}
	return out
}

// ResponseHeader returns the headers of a service's response that are forwarded to the caller.
func ResponseHeader(h http.Header) http.Header {
	out := endToEndHeaders(h)
	out.Del("Content-Length")
	return out
}

// endToEndHeaders returns a copy of the headers without hop-by-hop headers and headers that only routers set.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), routerHeaderPrefix) {
			delete(out, name)
		}
	}
	return out
}
