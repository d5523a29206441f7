package object

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
)

// MaxFileBytes bounds a configuration file. The target size, 11,000 teams and 4,500 backend servers, takes 5 MB.
const MaxFileBytes = 64 << 20

// envelope is the outer form of one object.
type envelope struct {
	Kind Kind            `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec"`
}

type document struct {
	Objects []json.RawMessage `json:"objects"`
}

// Decode reads the objects of a JSON file {"objects":[{"kind","name","spec":{...}}]} into a set. Unknown fields,
// repeated fields and objects that the set already has are findings. Objects with findings are not added. The file
// name is used in findings only.
func Decode(file string, data []byte, into *Set) Findings {
	r := reader{file: file}
	if len(data) > MaxFileBytes {
		r.report("", fmt.Sprintf("file has %d bytes; at most %d are read", len(data), MaxFileBytes))
		return r.findings
	}
	if err := checkSyntax(data); err != nil {
		r.report("", "no valid JSON: "+err.Error())
		return r.findings
	}
	var doc document
	if !r.value("", data, reflect.ValueOf(&doc).Elem()) {
		return r.findings
	}
	for i, raw := range doc.Objects {
		r.object(i, raw, into)
	}
	return r.findings
}

// checkSyntax accepts exactly one JSON value.
func checkSyntax(data []byte) error {
	var raw json.RawMessage
	return json.Unmarshal(data, &raw)
}

func (r *reader) object(index int, raw json.RawMessage, into *Set) {
	r.target = ""
	place := fmt.Sprintf("objects[%d]", index)
	var env envelope
	if !r.value(place, raw, reflect.ValueOf(&env).Elem()) {
		return
	}
	t, ok := tables[env.Kind]
	if !ok {
		r.report(place+".kind", fmt.Sprintf("unknown kind %q", env.Kind))
		return
	}
	id := ID{Kind: env.Kind, Name: env.Name}
	if message := nameFault(env.Name); message != "" {
		r.report(place+".name", message)
		return
	}
	r.target = id.String()
	r.spec(id, t, env.Spec, into)
}

func (r *reader) spec(id ID, t table, raw json.RawMessage, into *Set) {
	if _, exists := t.get(into, id.Name); exists {
		r.report("", "duplicate object"+firstSeen(into.sources[id]))
		return
	}
	spec := t.create(id.Name)
	if len(bytes.TrimSpace(raw)) == 0 {
		raw = json.RawMessage("{}")
	}
	if !r.value("spec", raw, reflect.ValueOf(spec).Elem()) {
		return
	}
	normalize(spec)
	t.put(into, id.Name, spec)
	into.setSource(id, r.file)
}

func firstSeen(file string) string {
	if file == "" {
		return ""
	}
	return "; first in " + file
}
