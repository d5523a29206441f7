package kvstore

import (
	"sort"
	"sync"
	"time"
)

// Bounds of the history, so that a long run needs bounded memory.
const (
	maxVersions      = 32
	defaultMaxEvents = 10_000
)

type lease struct {
	ttl   int64
	timer *time.Timer
	keys  map[string]bool
}

// data is the store's content with a bounded history.
type data struct {
	mu       sync.Mutex
	revision int64
	// versions hold the last states of each key, oldest first. A state with Version 0 is a deletion.
	versions map[string][]keyValue
	events   []event
	// compacted is the last revision whose event was dropped.
	compacted int64
	maxEvents int
	changed   chan struct{}
	leases    map[int64]*lease
	nextLease int64
}

func newData(maxEvents int) *data {
	return &data{
		revision:  1,
		versions:  make(map[string][]keyValue),
		maxEvents: maxEvents,
		changed:   make(chan struct{}),
		leases:    make(map[int64]*lease),
	}
}

// at returns a key's state some changes ago.
func (d *data) at(key string, ago int) (keyValue, bool) {
	list := d.versions[key]
	index := len(list) - 1 - ago
	if index < 0 || list[index].Version == 0 {
		return keyValue{}, false
	}
	return list[index], true
}

func (d *data) read(r rangeRequest, ago int) *rangeResponse {
	response := &rangeResponse{Header: header{d.revision}}
	for _, key := range d.keys(r.Key, r.RangeEnd) {
		kv, ok := d.at(key, ago)
		if !ok {
			continue
		}
		response.Count++
		if r.Limit > 0 && int64(len(response.Kvs)) >= r.Limit {
			response.More = true
			continue
		}
		response.Kvs = append(response.Kvs, kv)
	}
	return response
}

func (d *data) keys(key, end []byte) []string {
	if len(end) == 0 {
		return []string{string(key)}
	}
	var keys []string
	for candidate := range d.versions {
		if within(candidate, key, end) {
			keys = append(keys, candidate)
		}
	}
	sort.Strings(keys)
	return keys
}

// within follows the protocol: no end means one key, and the end "\x00" means no upper bound.
func within(candidate string, key, end []byte) bool {
	if len(end) == 0 {
		return candidate == string(key)
	}
	unbounded := len(end) == 1 && end[0] == 0
	return candidate >= string(key) && (unbounded || candidate < string(end))
}

func (d *data) holds(c compare) bool {
	current, _ := d.at(string(c.Key), 0)
	switch c.Result {
	case "", "EQUAL":
		return current.ModRevision == c.ModRevision
	case "NOT_EQUAL":
		return current.ModRevision != c.ModRevision
	case "GREATER":
		return current.ModRevision > c.ModRevision
	default:
		return current.ModRevision < c.ModRevision
	}
}

// txn runs a transaction. All its writes get one revision.
func (d *data) txn(r txnRequest) *txnResponse {
	response := &txnResponse{Succeeded: true}
	for _, c := range r.Compare {
		response.Succeeded = response.Succeeded && d.holds(c)
	}
	ops := r.Success
	if !response.Succeeded {
		ops = r.Failure
	}
	revision := d.revision + 1
	for _, op := range ops {
		response.Responses = append(response.Responses, d.run(op, revision))
	}
	response.Header.Revision = d.revision
	return response
}

func (d *data) run(op requestOp, revision int64) responseOp {
	switch {
	case op.Put != nil:
		d.put(*op.Put, revision)
		return responseOp{Put: &putResponse{Header: header{revision}}}
	case op.Delete != nil:
		deleted := d.remove(string(op.Delete.Key), revision)
		return responseOp{Delete: &deleteResponse{Header: header{d.revision}, Deleted: deleted}}
	case op.Range != nil:
		return responseOp{Range: d.read(*op.Range, 0)}
	}
	return responseOp{}
}

func (d *data) put(r putRequest, revision int64) {
	key := string(r.Key)
	kv, exists := d.at(key, 0)
	if !exists {
		kv = keyValue{Key: r.Key, CreateRevision: revision}
	}
	kv.ModRevision = revision
	kv.Version++
	kv.Value = r.Value
	kv.Lease = r.Lease
	if l, ok := d.leases[r.Lease]; ok {
		l.keys[key] = true
	}
	d.record(event{Kv: kv})
}

func (d *data) remove(key string, revision int64) int64 {
	if _, exists := d.at(key, 0); !exists {
		return 0
	}
	d.record(event{Type: "DELETE", Kv: keyValue{Key: []byte(key), ModRevision: revision}})
	return 1
}

func (d *data) record(e event) {
	key := string(e.Kv.Key)
	list := append(d.versions[key], e.Kv)
	if len(list) > maxVersions {
		list = append([]keyValue(nil), list[len(list)-maxVersions:]...)
	}
	d.versions[key] = list
	d.events = append(d.events, e)
	if len(d.events) > d.maxEvents {
		d.compacted = d.events[0].Kv.ModRevision
		d.events = d.events[1:]
	}
	d.revision = e.Kv.ModRevision
	d.wake()
}

func (d *data) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// since returns the events of a range from a revision on, and the channel that closes at the next change.
func (d *data) since(r watchCreate, revision int64) ([]event, <-chan struct{}) {
	first := sort.Search(len(d.events), func(i int) bool { return d.events[i].Kv.ModRevision >= revision })
	var list []event
	for _, e := range d.events[first:] {
		if within(string(e.Kv.Key), r.Key, r.RangeEnd) {
			list = append(list, e)
		}
	}
	return list, d.changed
}
