package caller

import (
	"net/http"
	"net/textproto"
	"net/url"
	"path"
	"strings"
)

// ServicePrefix begins the paths of service calls.
const ServicePrefix = "/v1/services/"

// ServiceCall is a parsed request to a plain service.
type ServiceCall struct {
	Service string
	Method  string
	// Path is the path and query that the service gets, with a leading slash.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the idempotency key, or empty.
	Key string
}

// methods are the methods of service calls. Tunnels and upgrades are not calls.
var methods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true, http.MethodPatch: true,
	http.MethodDelete: true, http.MethodOptions: true,
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// private are request headers that a service does not get: the API key, and what the transport sets itself.
var private = []string{"Authorization", "Content-Length", "Host", "Expect", HeaderIdempotencyKey}

// ownPrefix begins the headers that only routers set.
const ownPrefix = "Gooseberrytide-"

// ParseService parses a request below ServicePrefix. target is the request's escaped path and query. Errors: *Error.
func ParseService(method, target string, header http.Header, body []byte) (*ServiceCall, error) {
	if len(body) > MaxBodyBytes {
		return nil, ErrTooLarge("body", MaxBodyBytes)
	}
	if !methods[method] {
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
	key, err := ParseKey(header)
	if err != nil {
		return nil, err
	}
	c := &ServiceCall{Service: name, Method: method, Path: servicePath, Header: RequestHeader(header), Body: body, Key: key}
	return c, nil
}

// checkPath refuses paths that a service could read in another way than the router does, because the route decides
// whether a call may be repeated.
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

// ParseKey returns the idempotency key of a request, or an empty string. Errors: *Error.
func ParseKey(header http.Header) (string, error) {
	values := header.Values(HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", invalid(HeaderIdempotencyKey, "given more than once")
	}
	key := values[0]
	if key == "" || len(key) > MaxKeyBytes {
		return "", invalid(HeaderIdempotencyKey, "must have 1 to %d characters", MaxKeyBytes)
	}
	for _, c := range []byte(key) {
		if c < '!' || c > '~' {
			return "", invalid(HeaderIdempotencyKey, "must be visible ASCII characters")
		}
	}
	return key, nil
}

// RequestHeader returns the headers of a caller's request that a service gets.
func RequestHeader(h http.Header) http.Header {
	out := endToEnd(h)
	for _, name := range private {
		out.Del(name)
	}
	return out
}

// ResponseHeader returns the headers of a service's answer that a caller gets.
func ResponseHeader(h http.Header) http.Header {
	out := endToEnd(h)
	out.Del("Content-Length")
	return out
}

// endToEnd copies headers without those of the connection and those that only routers set.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), ownPrefix) {
			delete(out, name)
		}
	}
	return out
}
