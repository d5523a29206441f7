package kvstore

import "time"

func (d *data) grant(r leaseRequest) leaseResponse {
	d.nextLease++
	id := r.ID
	if id == 0 {
		id = d.nextLease
	}
	l := &lease{ttl: max(r.TTL, 1), keys: make(map[string]bool)}
	l.timer = time.AfterFunc(time.Duration(l.ttl)*time.Second, func() { d.expire(id, l) })
	d.leases[id] = l
	return leaseResponse{Header: header{d.revision}, ID: id, TTL: l.ttl}
}

// keepAlive restarts a lease. An unknown or expired lease has TTL 0.
func (d *data) keepAlive(id int64) leaseResponse {
	response := leaseResponse{Header: header{d.revision}, ID: id}
	if l, ok := d.leases[id]; ok {
		l.timer.Reset(time.Duration(l.ttl) * time.Second)
		response.TTL = l.ttl
	}
	return response
}

func (d *data) expire(id int64, l *lease) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leases[id] == l {
		d.revoke(id)
	}
}

// revoke ends a lease, removes its keys, and says whether it existed.
func (d *data) revoke(id int64) bool {
	l, ok := d.leases[id]
	if !ok {
		return false
	}
	l.timer.Stop()
	delete(d.leases, id)
	revision := d.revision + 1
	for key := range l.keys {
		if kv, exists := d.at(key, 0); exists && kv.Lease == id {
			d.remove(key, revision)
		}
	}
	return true
}
