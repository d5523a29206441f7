package object

import (
	"sort"
	"strings"
)

// Finding is one error in a configuration.
type Finding struct {
	// File is the file that contains the object, or empty.
	File string `json:"file,omitempty"`
	// Object is the object as KIND/NAME, or empty if the finding concerns the whole file.
	Object string `json:"object,omitempty"`
	// Field is the path of the field, for example spec.routes[0].cost, or empty.
	Field string `json:"field,omitempty"`
	// Message says what is wrong.
	Message string `json:"message"`
}

// String returns "FILE: OBJECT: FIELD: MESSAGE" without the parts that are empty.
func (f Finding) String() string {
	parts := make([]string, 0, 4)
	for _, part := range []string{f.File, f.Object, f.Field, f.Message} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

// Findings are the errors that Decode or Check found. A non-empty list is used as an error.
type Findings []Finding

// Error returns one line per finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// sorted sorts the findings in place by file, object and field, so that reports do not depend on map order.
func (f Findings) sorted() Findings {
	sort.SliceStable(f, func(i, j int) bool {
		a, b := f[i], f[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Object != b.Object {
			return a.Object < b.Object
		}
		return a.Field < b.Field
	})
	return f
}
