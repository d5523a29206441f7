package execute

import (
	"net/url"
	"path"
	"strings"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// defaultRouteCost is the charge of a call whose route states none, in cost units.
const defaultRouteCost ident.Cost = 1

// routeOf returns how a call is treated. A call that no route matches runs at most once. So does a call whose path
// could be read in two ways, because the service may see another route in it.
func routeOf(service *object.Service, method, target string) object.Route {
	best := object.Route{Cost: defaultRouteCost}
	matched := -1
	p, plain := plainPath(target)
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
	best.Idempotent = best.Idempotent && plain
	if best.Cost <= 0 {
		best.Cost = defaultRouteCost
	}
	return best
}

// plainPath returns the decoded path and whether it has only one reading: no dot segments, no doubled slashes, no
// encoded slashes, backslashes or path parameters.
func plainPath(target string) (string, bool) {
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
