package gateway

import (
	"net/url"
	"strings"
)

// encodedSlash is a slash within a segment of a path.
const encodedSlash = "%2F"

// routePath returns the path that routes are matched on: the decoded path, in which encoded slashes stay encoded. They do
// not separate segments, so that "/a%2Fb" does not begin with "/a/".
func routePath(u *url.URL) string {
	if u.RawPath == "" {
		return u.Path
	}
	segments := strings.Split(u.EscapedPath(), "/")
	for i, segment := range segments {
		decoded, err := url.PathUnescape(segment)
		if err != nil {
			return u.Path // not reached, since the path was decoded before
		}
		segments[i] = strings.ReplaceAll(decoded, "/", encodedSlash)
	}
	return strings.Join(segments, "/")
}
