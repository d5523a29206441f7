package object

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
)

// MaxFileBytes is the maximum size of a configuration file. A file of the target size, 11,000 teams and 4,500 backend
// servers, takes 5 MB.
const MaxFileBytes = 64 << 20

// envelope is the JSON encoding of one object.
type envelope struct {
	Kind Kind            `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec"`
}

// document is the JSON encoding of a file.
type document struct {
	Objects []json.RawMessage `json:"objects"`
}

// Decode adds the objects of a JSON file {"objects":[{"kind","name","spec":{...}}]} to a set. Unknown fields, repeated
// fields and objects that the set already contains are findings. Objects with findings are not added. The file name is
// used in findings only.
func Decode(file string, data []byte, into *Set) Findings {
	d := strictDecoder{file: file}
	if len(data) > MaxFileBytes {
		d.report("", fmt.Sprintf("file has %d bytes; at most %d are read", len(data), MaxFileBytes))
		return d.findings
	}
	if err := checkSyntax(data); err != nil {
		d.report("", "invalid JSON: "+err.Error())
		return d.findings
	}
	var doc document
	if !d.decodeValue("", data, reflect.ValueOf(&doc).Elem()) {
		return d.findings
	}
	for i, raw := range doc.Objects {
		d.decodeObject(i, raw, into)
	}
	return d.findings
}

// checkSyntax returns an error unless data is exactly one JSON value.
func checkSyntax(data []byte) error {
	var raw json.RawMessage
	return json.Unmarshal(data, &raw)
}

func (d *strictDecoder) decodeObject(index int, raw json.RawMessage, into *Set) {
	d.objectName = ""
	path := fmt.Sprintf("objects[%d]", index)
	var env envelope
	if !d.decodeValue(path, raw, reflect.ValueOf(&env).Elem()) {
		return
	}
	accessor, ok := accessors[env.Kind]
	if !ok {
		d.report(path+".kind", fmt.Sprintf("unknown kind %q", env.Kind))
		return
	}
	id := ID{Kind: env.Kind, Name: env.Name}
	if message := nameError(env.Name); message != "" {
		d.report(path+".name", message)
		return
	}
	d.objectName = id.String()
	d.decodeSpec(id, accessor, env.Spec, into)
}

func (d *strictDecoder) decodeSpec(id ID, accessor kindAccessor, raw json.RawMessage, into *Set) {
	if _, exists := accessor.get(into, id.Name); exists {
		d.report("", "duplicate object"+firstFileSuffix(into.sources[id]))
		return
	}
	spec := accessor.create(id.Name)
	if len(bytes.TrimSpace(raw)) == 0 {
		raw = json.RawMessage("{}")
	}
	if !d.decodeValue("spec", raw, reflect.ValueOf(spec).Elem()) {
		return
	}
	normalize(spec)
	accessor.put(into, id.Name, spec)
	into.setSource(id, d.file)
}

// firstFileSuffix returns the end of a message that names the file in which an object was first defined, or an empty
// string if there is no file.
func firstFileSuffix(file string) string {
	if file == "" {
		return ""
	}
	return "; first in " + file
}
