package object

import (
	"cmp"
	"reflect"
	"slices"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// ID identifies an object in a set.
type ID struct {
	Kind Kind
	Name string
}

// String returns "KIND/NAME".
func (id ID) String() string { return string(id.Kind) + "/" + id.Name }

// FormatIDs returns the IDs in the form KIND/NAME.
func FormatIDs(ids []ID) []string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = id.String()
	}
	return names
}

// ParseID parses an ID of the form KIND/NAME.
func ParseID(text string) (ID, error) {
	kind, name, ok := strings.Cut(text, "/")
	if !ok || name == "" {
		return ID{}, errors.Errorf("object %q: want KIND/NAME", text)
	}
	if _, known := accessors[Kind(kind)]; !known {
		return ID{}, errors.Errorf("object %q: unknown kind %q", text, kind)
	}
	return ID{Kind: Kind(kind), Name: name}, nil
}

// CompareIDs compares IDs in canonical order: by kind in the order of Kinds, then by name.
func CompareIDs(a, b ID) int {
	if order := cmp.Compare(slices.Index(Kinds, a.Kind), slices.Index(Kinds, b.Kind)); order != 0 {
		return order
	}
	return strings.Compare(a.Name, b.Name)
}

// Kinds lists all kinds in canonical order: an object refers only to objects of kinds before its own, except that a
// model refers to its default version.
var Kinds = []Kind{
	KindFailureDomain,
	KindModel,
	KindVersion,
	KindService,
	KindBackendServer,
	KindTeam,
	KindVM,
}

// kindAccessor provides access to the objects of one kind in a set.
type kindAccessor struct {
	create func(name string) any
	get    func(s *Set, name string) (any, bool)
	put    func(s *Set, name string, spec any)
	remove func(s *Set, name string)
	names  func(s *Set) []string
	count  func(s *Set) int
	clone  func(s *Set)
}

var accessors = map[Kind]kindAccessor{
	KindTeam: newAccessor(
		func(s *Set) *map[string]*Team { return &s.Teams },
		func(t *Team, name string) { t.Name = name }, defaultTeam),
	KindService: newAccessor(
		func(s *Set) *map[string]*Service { return &s.Services },
		func(t *Service, name string) { t.Name = name }, defaultService),
	KindBackendServer: newAccessor(
		func(s *Set) *map[string]*BackendServer { return &s.BackendServers },
		func(t *BackendServer, name string) { t.Name = name }, defaultBackendServer),
	KindModel: newAccessor(
		func(s *Set) *map[string]*Model { return &s.Models },
		func(t *Model, name string) { t.Name = name }, defaultModel),
	KindVersion: newAccessor(
		func(s *Set) *map[string]*Version { return &s.Versions },
		func(t *Version, name string) { t.Name = name }, func() Version { return Version{} }),
	KindFailureDomain: newAccessor(
		func(s *Set) *map[string]*FailureDomain { return &s.FailureDomains },
		func(t *FailureDomain, name string) { t.Name = name }, func() FailureDomain { return FailureDomain{} }),
	KindVM: newAccessor(
		func(s *Set) *map[string]*VM { return &s.VMs },
		func(t *VM, name string) { t.Name = name }, defaultVM),
}

func newAccessor[T any](field func(*Set) *map[string]*T, setName func(*T, string), defaults func() T) kindAccessor {
	return kindAccessor{
		create: func(name string) any {
			spec := defaults()
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
		accessors[kind].clone(set)
	}
	return set
}

// Len returns the number of objects.
func (s *Set) Len() int {
	total := 0
	for _, kind := range Kinds {
		total += accessors[kind].count(s)
	}
	return total
}

// IDs returns the IDs of all objects in canonical order.
func (s *Set) IDs() []ID {
	ids := make([]ID, 0, s.Len())
	for _, kind := range Kinds {
		for _, name := range accessors[kind].names(s) {
			ids = append(ids, ID{Kind: kind, Name: name})
		}
	}
	return ids
}

// Get returns an object as a pointer to its type.
func (s *Set) Get(id ID) (any, bool) {
	accessor, ok := accessors[id.Kind]
	if !ok {
		return nil, false
	}
	return accessor.get(s, id.Name)
}

// Put adds or replaces an object. spec is a pointer to the type of the kind.
func (s *Set) Put(id ID, spec any) { accessors[id.Kind].put(s, id.Name, spec) }

// Copy adds or replaces an object with that of another set, if the other set contains it. Both sets then share the
// object.
func (s *Set) Copy(id ID, from *Set) {
	if spec, ok := from.Get(id); ok {
		s.Put(id, spec)
		s.setSource(id, from.sources[id])
	}
}

// Remove removes an object if it exists.
func (s *Set) Remove(id ID) {
	accessors[id.Kind].remove(s, id.Name)
	delete(s.sources, id)
}

// Clone returns a copy whose objects can be replaced and modified. Lists inside objects are shared: callers must
// replace them as a whole instead of modifying their elements.
func (s *Set) Clone() *Set {
	copied := *s
	for _, kind := range Kinds {
		accessors[kind].clone(&copied)
	}
	copied.sources = make(map[ID]string, len(s.sources))
	for id, file := range s.sources {
		copied.sources[id] = file
	}
	return &copied
}

// VersionOf returns the version configured for a model engine: its own, or else the default version of its model.
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

// equalObjects reports whether two objects of the same kind are equal.
func equalObjects(a, b any) bool {
	return a == b || reflect.DeepEqual(a, b)
}
