package object

import (
	"fmt"
	"math"
	"regexp"
)

// maxNameBytes is the maximum length of a name. It leaves room for names inside store keys and frames.
const maxNameBytes = 63

// namePattern excludes '/', '#' and spaces, because names are parts of pool IDs, shard IDs and store keys.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// nameError returns a message that says why a name is invalid, or an empty string if it is valid.
func nameError(name string) string {
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

// Check validates a whole set: names, ranges, addresses, references and API key hashes. It returns all findings,
// ordered by file, object and field.
func Check(set *Set) Findings {
	c := checker{set: set, hashes: make(map[string]string), addresses: make(map[string]string)}
	for _, id := range set.IDs() {
		c.checkObject(id)
	}
	return c.findings.sorted()
}

// checker validates the objects of a set and collects the findings.
type checker struct {
	set      *Set
	id       ID
	findings Findings
	// hashes and addresses map each API key hash and address to the first object that has it.
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

func (c *checker) checkObject(id ID) {
	c.id = id
	if message := nameError(id.Name); message != "" {
		c.report("", "name %s", message)
	}
	spec, ok := c.set.Get(id)
	if !ok {
		c.report("", "object is empty")
		return
	}
	switch o := spec.(type) {
	case *Team:
		c.checkTeam(o)
	case *Service:
		c.checkService(o)
	case *Model:
		c.checkModel(o)
	case *Version:
		c.checkVersion(o)
	case *BackendServer:
		c.checkBackendServer(o)
	case *FailureDomain:
		c.checkFailureDomain(o)
	case *VM:
		c.checkState("state", o.State)
	}
}

func (c *checker) checkInt(field string, value, low, high int64) {
	if value < low || value > high {
		c.report(field, "%d is outside %d to %d", value, low, high)
	}
}

func (c *checker) checkFloat(field string, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		c.report(field, "%g is outside %g to %g", value, low, high)
	}
}

func (c *checker) checkState(field string, state State) {
	if state != StateActive && state != StateDraining {
		c.report(field, "%q is neither %q nor %q", state, StateActive, StateDraining)
	}
}

// checkReference reports a name that is empty or refers to no object. It returns whether the object exists.
func (c *checker) checkReference(field string, kind Kind, name string) bool {
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

// checkVersionOf reports a version that does not exist or belongs to another model.
func (c *checker) checkVersionOf(field, version, model string) {
	if !c.checkReference(field, KindVersion, version) {
		return
	}
	if owner := c.set.Versions[version].Model; owner != model {
		c.report(field, "version %q belongs to model %q, not %q", version, owner, model)
	}
}
