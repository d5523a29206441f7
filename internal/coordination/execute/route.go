package execute

import (
	"net/url"
	"path"
	"strings"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// defaultRouteCost is the cost of a call whose route configures none, in cost units.
const defaultRouteCost ident.Cost = 1

// matchRoute returns the route of a call: the one with the longest matching path prefix, where a route for the call's
// method wins over one for all methods. A call that matches no route is treated as non-idempotent. So is a call with an
// ambiguous path, because the service may map the path to another route.
func matchRoute(service *object.Service, method, target string) object.Route {
	best := object.Route{Cost: defaultRouteCost}
	matched := -1
	p, unambiguous := decodePath(target)
	for _, r := range service.Routes {
		if r.Method != "" && r.Method != method || !strings.HasPrefix(p, r.PathPrefix) {
			continue
		}
		rank := 2 * len(r.PathPrefix)
		if r.Method != "" {
			rank++
		}
		if rank > matched {
			best, matched = r, rank
		}
	}
	best.Idempotent = best.Idempotent && unambiguous
	if best.Cost <= 0 {
		best.Cost = defaultRouteCost
	}
	return best
}

// decodePath returns the decoded path of a request target and whether it is unambiguous, that is, without dot segments,
// repeated slashes, encoded slashes, encoded percent signs, backslashes and path parameters.
func decodePath(target string) (string, bool) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return target, false
	}
	clean := path.Clean(u.Path)
	if strings.HasSuffix(u.Path, "/") && clean != "/" {
		clean += "/"
	}
	escaped := strings.ToLower(u.EscapedPath())
	ambiguous := strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%25") || strings.ContainsAny(u.Path, `\;`)
	return u.Path, clean == u.Path && !ambiguous
}
