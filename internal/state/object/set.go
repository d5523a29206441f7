package object

import (
	"cmp"
	"reflect"
	"slices"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// ID names an object in a set.
type ID struct {
	Kind Kind
	Name string
}

// String returns "KIND/NAME".
func (id ID) String() string { return string(id.Kind) + "/" + id.Name }

// Names returns the names as KIND/NAME.
func Names(ids []ID) []string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = id.String()
	}
	return names
}

// ParseID reads an ID of the form KIND/NAME.
func ParseID(text string) (ID, error) {
	kind, name, ok := strings.Cut(text, "/")
	if !ok || name == "" {
		return ID{}, errors.Errorf("object %q: want KIND/NAME", text)
	}
	if _, known := tables[Kind(kind)]; !known {
		return ID{}, errors.Errorf("object %q: unknown kind %q", text, kind)
	}
	return ID{Kind: Kind(kind), Name: name}, nil
}

// CompareIDs orders names canonically: by kind in the order of Kinds, then by name.
func CompareIDs(a, b ID) int {
	if order := cmp.Compare(slices.Index(Kinds, a.Kind), slices.Index(Kinds, b.Kind)); order != 0 {
		return order
	}
	return strings.Compare(a.Name, b.Name)
}

// Kinds are all kinds in canonical order: an object refers only to kinds before its own, except that a model
// refers to its default version.
var Kinds = []Kind{
	KindFailureDomain,
	KindModel,
	KindVersion,
	KindService,
	KindBackendServer,
	KindTeam,
	KindVM,
}

// table gives access to the objects of one kind.
type table struct {
	create func(name string) any
	get    func(s *Set, name string) (any, bool)
	put    func(s *Set, name string, spec any)
	remove func(s *Set, name string)
	names  func(s *Set) []string
	count  func(s *Set) int
	clone  func(s *Set)
}

var tables = map[Kind]table{
	KindTeam: newTable(
		func(s *Set) *map[string]*Team { return &s.Teams },
		func(t *Team, name string) { t.Name = name }, defaultTeam),
	KindService: newTable(
		func(s *Set) *map[string]*Service { return &s.Services },
		func(t *Service, name string) { t.Name = name }, defaultService),
	KindBackendServer: newTable(
		func(s *Set) *map[string]*BackendServer { return &s.BackendServers },
		func(t *BackendServer, name string) { t.Name = name }, defaultBackendServer),
	KindModel: newTable(
		func(s *Set) *map[string]*Model { return &s.Models },
		func(t *Model, name string) { t.Name = name }, defaultModel),
	KindVersion: newTable(
		func(s *Set) *map[string]*Version { return &s.Versions },
		func(t *Version, name string) { t.Name = name }, func() Version { return Version{} }),
	KindFailureDomain: newTable(
		func(s *Set) *map[string]*FailureDomain { return &s.FailureDomains },
		func(t *FailureDomain, name string) { t.Name = name }, func() FailureDomain { return FailureDomain{} }),
	KindVM: newTable(
		func(s *Set) *map[string]*VM { return &s.VMs },
		func(t *VM, name string) { t.Name = name }, defaultVM),
}

func newTable[T any](field func(*Set) *map[string]*T, setName func(*T, string), initial func() T) table {
	return table{
		create: func(name string) any {
			spec := initial()
			setName(&spec, name)
			return &spec
		},
		get: func(s *Set, name string) (any, bool) {
			spec, ok := (*field(s))[name]
			return spec, ok && spec != nil
		},
		put: func(s *Set, name string, spec any) {
			objects := field(s)
			if *objects == nil {
				*objects = make(map[string]*T)
			}
			(*objects)[name] = spec.(*T)
		},
		remove: func(s *Set, name string) { delete(*field(s), name) },
		names:  func(s *Set) []string { return sortedNames(*field(s)) },
		count:  func(s *Set) int { return len(*field(s)) },
		clone: func(s *Set) {
			objects := field(s)
			copied := make(map[string]*T, len(*objects))
			for name, spec := range *objects {
				if spec == nil {
					continue
				}
				duplicate := *spec
				setName(&duplicate, name)
				copied[name] = &duplicate
			}
			*objects = copied
		},
	}
}

func sortedNames[T any](objects map[string]T) []string {
	names := make([]string, 0, len(objects))
	for name := range objects {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// NewSet returns an empty set.
func NewSet() *Set {
	set := &Set{}
	for _, kind := range Kinds {
		tables[kind].clone(set)
	}
	return set
}

// Len returns the number of objects.
func (s *Set) Len() int {
	total := 0
	for _, kind := range Kinds {
		total += tables[kind].count(s)
	}
	return total
}

// IDs returns the names of all objects in canonical order.
func (s *Set) IDs() []ID {
	ids := make([]ID, 0, s.Len())
	for _, kind := range Kinds {
		for _, name := range tables[kind].names(s) {
			ids = append(ids, ID{Kind: kind, Name: name})
		}
	}
	return ids
}

// Get returns the object as a pointer to its type.
func (s *Set) Get(id ID) (any, bool) {
	t, ok := tables[id.Kind]
	if !ok {
		return nil, false
	}
	return t.get(s, id.Name)
}

// Put adds or replaces an object. Spec is a pointer to the kind's type.
func (s *Set) Put(id ID, spec any) { tables[id.Kind].put(s, id.Name, spec) }

// Copy adds or replaces an object with the one of another set, if that has it. Both sets then share the object.
func (s *Set) Copy(id ID, from *Set) {
	if spec, ok := from.Get(id); ok {
		s.Put(id, spec)
		s.setSource(id, from.sources[id])
	}
}

// Remove removes an object if it exists.
func (s *Set) Remove(id ID) {
	tables[id.Kind].remove(s, id.Name)
	delete(s.sources, id)
}

// Clone returns a copy whose objects can be replaced and changed. Lists inside objects are shared; replace them
// as a whole instead of changing their elements.
func (s *Set) Clone() *Set {
	copied := *s
	for _, kind := range Kinds {
		tables[kind].clone(&copied)
	}
	copied.sources = make(map[ID]string, len(s.sources))
	for id, file := range s.sources {
		copied.sources[id] = file
	}
	return &copied
}

// VersionOf returns the version that a model engine runs: its own, or the default version of its model.
func (s *Set) VersionOf(server *BackendServer) string {
	if server.Version != "" {
		return server.Version
	}
	if model, ok := s.Models[server.Model]; ok {
		return model.DefaultVersion
	}
	return ""
}

func (s *Set) setSource(id ID, file string) {
	if file == "" {
		return
	}
	if s.sources == nil {
		s.sources = make(map[ID]string)
	}
	s.sources[id] = file
}

// equalObjects compares two objects of the same kind.
func equalObjects(a, b any) bool {
	return a == b || reflect.DeepEqual(a, b)
}
