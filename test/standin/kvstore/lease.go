package kvstore

import "time"

func (d *versionedData) grant(r leaseRequest) leaseResponse {
	d.nextLease++
	id := r.ID
	if id == 0 {
		id = d.nextLease
	}
	l := &lease{ttl: max(r.TTL, 1), keys: make(map[string]bool)}
	l.timer = time.AfterFunc(time.Duration(l.ttl)*time.Second, func() { d.expire(id, l) })
	d.leases[id] = l
	return leaseResponse{Header: d.header(d.revision), ID: id, TTL: l.ttl}
}

// keepAlive renews a lease. The response has TTL 0 if the lease is unknown or expired.
func (d *versionedData) keepAlive(id int64) leaseResponse {
	response := leaseResponse{Header: d.header(d.revision), ID: id}
	if l, ok := d.leases[id]; ok {
		l.timer.Reset(time.Duration(l.ttl) * time.Second)
		response.TTL = l.ttl
	}
	return response
}

func (d *versionedData) expire(id int64, l *lease) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leases[id] == l {
		d.revoke(id)
	}
}

// revoke ends a lease, deletes the keys attached to it, and reports whether the lease existed.
func (d *versionedData) revoke(id int64) bool {
	l, ok := d.leases[id]
	if !ok {
		return false
	}
	l.timer.Stop()
	delete(d.leases, id)
	revision := d.revision + 1
	for key := range l.keys {
		if kv, exists := d.lookup(key, 0); exists && kv.Lease == id {
			d.remove(key, revision)
		}
	}
	return true
}
