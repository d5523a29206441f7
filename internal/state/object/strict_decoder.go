package object

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// strictDecoder decodes JSON values into structs and collects all findings. Unlike encoding/json it matches field names
// exactly, rejects repeated and unknown fields and null, and continues after a finding.
type strictDecoder struct {
	file       string
	objectName string
	findings   Findings
}

// report adds a finding about a field of the current object.
func (d *strictDecoder) report(field, message string) {
	d.findings = append(d.findings, Finding{File: d.file, Object: d.objectName, Field: field, Message: message})
}

var rawMessageType = reflect.TypeOf(json.RawMessage(nil))

// decodeValue decodes data, which is valid JSON, and reports whether there were no findings.
func (d *strictDecoder) decodeValue(path string, data []byte, into reflect.Value) bool {
	data = bytes.TrimSpace(data)
	if into.Type() == rawMessageType {
		into.SetBytes(append([]byte(nil), data...))
		return true
	}
	if bytes.Equal(data, []byte("null")) {
		d.report(path, "must not be null")
		return false
	}
	switch into.Kind() {
	case reflect.Struct:
		return d.decodeStruct(path, data, into)
	case reflect.Slice:
		return d.decodeList(path, data, into)
	default:
		return d.decodeScalar(path, data, into)
	}
}

func (d *strictDecoder) decodeScalar(path string, data []byte, into reflect.Value) bool {
	if err := json.Unmarshal(data, into.Addr().Interface()); err != nil {
		d.report(path, fmt.Sprintf("want %s, got %s", typeName(into.Kind()), excerpt(data)))
		return false
	}
	return true
}

func (d *strictDecoder) decodeList(path string, data []byte, into reflect.Value) bool {
	var raws []json.RawMessage
	if err := json.Unmarshal(data, &raws); err != nil {
		d.report(path, "want a list, got "+excerpt(data))
		return false
	}
	list := reflect.MakeSlice(into.Type(), len(raws), len(raws))
	ok := true
	for i, raw := range raws {
		element := list.Index(i)
		if route, isRoute := element.Addr().Interface().(*Route); isRoute {
			*route = defaultRoute()
		}
		ok = d.decodeValue(fmt.Sprintf("%s[%d]", path, i), raw, element) && ok
	}
	into.Set(list)
	return ok
}

func (d *strictDecoder) decodeStruct(path string, data []byte, into reflect.Value) bool {
	if len(data) == 0 || data[0] != '{' {
		d.report(path, "want an object, got "+excerpt(data))
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	_, _ = decoder.Token()
	fieldIndex := fieldIndexes(into.Type())
	seen := make(map[string]bool)
	ok := true
	for decoder.More() {
		name, raw, err := nextField(decoder)
		if err != nil {
			d.report(path, "invalid JSON: "+err.Error())
			return false
		}
		ok = d.decodeField(joinPath(path, name), name, raw, into, fieldIndex, seen) && ok
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

func (d *strictDecoder) decodeField(
	path, name string, raw []byte, into reflect.Value, fieldIndex map[string]int, seen map[string]bool,
) bool {
	index, ok := fieldIndex[name]
	if !ok {
		d.report(path, "unknown field")
		return false
	}
	if seen[name] {
		d.report(path, "repeated field")
		return false
	}
	seen[name] = true
	return d.decodeValue(path, raw, into.Field(index))
}

// fieldIndexes maps the JSON names of a struct's fields to their indexes.
func fieldIndexes(t reflect.Type) map[string]int {
	index := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			index[name] = i
		}
	}
	return index
}

func joinPath(path, name string) string {
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

// maxExcerptBytes is the maximum length of a value in a finding. It keeps findings readable.
const maxExcerptBytes = 40

// excerpt returns the beginning of data as valid UTF-8 text.
func excerpt(data []byte) string {
	if len(data) > maxExcerptBytes {
		return strings.ToValidUTF8(string(data[:maxExcerptBytes]), "") + "..."
	}
	return strings.ToValidUTF8(string(data), "?")
}
