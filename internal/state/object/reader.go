package object

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// reader decodes JSON values into structs and collects all findings. Unlike encoding/json it matches field names
// exactly, refuses repeated and unknown fields and null, and goes on after a finding.
type reader struct {
	file     string
	target   string
	findings Findings
}

func (r *reader) report(field, message string) {
	r.findings = append(r.findings, Finding{File: r.file, Object: r.target, Field: field, Message: message})
}

var rawType = reflect.TypeOf(json.RawMessage(nil))

// value decodes data, which is valid JSON, and says whether it found nothing.
func (r *reader) value(path string, data []byte, into reflect.Value) bool {
	data = bytes.TrimSpace(data)
	if into.Type() == rawType {
		into.SetBytes(append([]byte(nil), data...))
		return true
	}
	if bytes.Equal(data, []byte("null")) {
		r.report(path, "must not be null")
		return false
	}
	switch into.Kind() {
	case reflect.Struct:
		return r.fields(path, data, into)
	case reflect.Slice:
		return r.elements(path, data, into)
	default:
		return r.leaf(path, data, into)
	}
}

func (r *reader) leaf(path string, data []byte, into reflect.Value) bool {
	if err := json.Unmarshal(data, into.Addr().Interface()); err != nil {
		r.report(path, fmt.Sprintf("want %s, got %s", typeName(into.Kind()), excerpt(data)))
		return false
	}
	return true
}

func (r *reader) elements(path string, data []byte, into reflect.Value) bool {
	var raws []json.RawMessage
	if err := json.Unmarshal(data, &raws); err != nil {
		r.report(path, "want a list, got "+excerpt(data))
		return false
	}
	list := reflect.MakeSlice(into.Type(), len(raws), len(raws))
	ok := true
	for i, raw := range raws {
		element := list.Index(i)
		if route, isRoute := element.Addr().Interface().(*Route); isRoute {
			*route = defaultRoute()
		}
		ok = r.value(fmt.Sprintf("%s[%d]", path, i), raw, element) && ok
	}
	into.Set(list)
	return ok
}

func (r *reader) fields(path string, data []byte, into reflect.Value) bool {
	if len(data) == 0 || data[0] != '{' {
		r.report(path, "want an object, got "+excerpt(data))
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	_, _ = decoder.Token()
	known := fieldIndex(into.Type())
	seen := make(map[string]bool)
	ok := true
	for decoder.More() {
		name, raw, err := nextField(decoder)
		if err != nil {
			r.report(path, "no valid JSON: "+err.Error())
			return false
		}
		ok = r.field(join(path, name), name, raw, into, known, seen) && ok
	}
	return ok
}

func nextField(decoder *json.Decoder) (string, json.RawMessage, error) {
	token, err := decoder.Token()
	if err != nil {
		return "", nil, err
	}
	name, _ := token.(string)
	var raw json.RawMessage
	err = decoder.Decode(&raw)
	return name, raw, err
}

func (r *reader) field(path, name string, raw []byte, into reflect.Value, known map[string]int, seen map[string]bool) bool {
	index, ok := known[name]
	if !ok {
		r.report(path, "unknown field")
		return false
	}
	if seen[name] {
		r.report(path, "repeated field")
		return false
	}
	seen[name] = true
	return r.value(path, raw, into.Field(index))
}

// fieldIndex maps JSON names to the indexes of a struct's fields.
func fieldIndex(t reflect.Type) map[string]int {
	index := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			index[name] = i
		}
	}
	return index
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func typeName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// maxExcerptBytes keeps findings readable when a value is long.
const maxExcerptBytes = 40

func excerpt(data []byte) string {
	if len(data) > maxExcerptBytes {
		return strings.ToValidUTF8(string(data[:maxExcerptBytes]), "") + "..."
	}
	return strings.ToValidUTF8(string(data), "?")
}
