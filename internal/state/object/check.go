package object

import (
	"fmt"
	"math"
	"regexp"
)

// maxNameBytes leaves room for names inside keys and frames.
const maxNameBytes = 63

// Names occur in pool ids, shard ids and store keys, so they hold no '/', '#' or space.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

func nameFault(name string) string {
	switch {
	case name == "":
		return "must not be empty"
	case len(name) > maxNameBytes:
		return fmt.Sprintf("must have at most %d bytes", maxNameBytes)
	case !namePattern.MatchString(name):
		return fmt.Sprintf("%q must begin with a letter or digit and hold only letters, digits, '.', '_' and '-'", name)
	}
	return ""
}

// Check checks a whole set: names, ranges, addresses, references and API key hashes. It returns all findings,
// ordered by file, object and field.
func Check(set *Set) Findings {
	c := checker{set: set, hashes: make(map[string]string), addresses: make(map[string]string)}
	for _, id := range set.IDs() {
		c.object(id)
	}
	return c.findings.sorted()
}

type checker struct {
	set      *Set
	id       ID
	findings Findings
	// hashes and addresses map to the first object that has them.
	hashes    map[string]string
	addresses map[string]string
}

func (c *checker) report(field, format string, args ...any) {
	finding := Finding{File: c.set.sources[c.id], Object: c.id.String(), Message: fmt.Sprintf(format, args...)}
	if field != "" {
		finding.Field = "spec." + field
	}
	c.findings = append(c.findings, finding)
}

func (c *checker) object(id ID) {
	c.id = id
	if message := nameFault(id.Name); message != "" {
		c.report("", "name %s", message)
	}
	spec, ok := c.set.Get(id)
	if !ok {
		c.report("", "object is empty")
		return
	}
	switch o := spec.(type) {
	case *Team:
		c.team(o)
	case *Service:
		c.service(o)
	case *Model:
		c.model(o)
	case *Version:
		c.version(o)
	case *BackendServer:
		c.backendServer(o)
	case *FailureDomain:
		c.failureDomain(o)
	case *VM:
		c.state("state", o.State)
	}
}

func (c *checker) whole(field string, value, low, high int64) {
	if value < low || value > high {
		c.report(field, "%d is outside %d to %d", value, low, high)
	}
}

func (c *checker) number(field string, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		c.report(field, "%g is outside %g to %g", value, low, high)
	}
}

func (c *checker) state(field string, state State) {
	if state != StateActive && state != StateDraining {
		c.report(field, "%q is neither %q nor %q", state, StateActive, StateDraining)
	}
}

// reference reports a name that is missing or names no object, and says whether the object exists.
func (c *checker) reference(field string, kind Kind, name string) bool {
	if name == "" {
		c.report(field, "must name a %s", kind)
		return false
	}
	if _, ok := c.set.Get(ID{Kind: kind, Name: name}); !ok {
		c.report(field, "%s %q does not exist", kind, name)
		return false
	}
	return true
}

// versionOf reports a version that is missing or belongs to another model.
func (c *checker) versionOf(field, version, model string) {
	if !c.reference(field, KindVersion, version) {
		return
	}
	if owner := c.set.Versions[version].Model; owner != model {
		c.report(field, "version %q belongs to model %q, not %q", version, owner, model)
	}
}
