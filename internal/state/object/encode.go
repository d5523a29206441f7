package object

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// elementPath returns the field path of a list element.
func elementPath(field string, index int) string { return fmt.Sprintf("%s[%d]", field, index) }

// EncodeObject returns the JSON encoding {"kind","name","spec"} of one object.
func EncodeObject(set *Set, id ID) ([]byte, error) {
	spec, ok := set.Get(id)
	if !ok {
		return nil, errors.Errorf("object %s does not exist", id)
	}
	raw, err := json.Marshal(spec)
	if err != nil {
		return nil, errors.Wrapf(err, "encode object %s", id)
	}
	data, err := json.Marshal(envelope{Kind: id.Kind, Name: id.Name, Spec: raw})
	return data, errors.Wrapf(err, "encode object %s", id)
}

// EncodeList returns the JSON encodings of all objects in canonical order: by kind in the order of Kinds, then by name.
func EncodeList(set *Set) ([]json.RawMessage, error) {
	ids := set.IDs()
	list := make([]json.RawMessage, 0, len(ids))
	for _, id := range ids {
		data, err := EncodeObject(set, id)
		if err != nil {
			return nil, err
		}
		list = append(list, data)
	}
	return list, nil
}

// Encode returns a set as a JSON file in canonical order, with one object per line. Equal sets give equal bytes.
func Encode(set *Set) ([]byte, error) {
	list, err := EncodeList(set)
	if err != nil {
		return nil, err
	}
	return EncodeFile(list), nil
}

// EncodeFile joins encoded objects into a JSON file that Decode accepts.
func EncodeFile(list []json.RawMessage) []byte {
	var out bytes.Buffer
	out.WriteString(`{"objects":[`)
	for i, data := range list {
		if i > 0 {
			out.WriteByte(',')
		}
		out.WriteByte('\n')
		out.Write(data)
	}
	out.WriteString("\n]}\n")
	return out.Bytes()
}
