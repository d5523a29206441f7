package clientconn

import (
	"container/list"

	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// silentList holds the connections that have sent nothing, oldest first. It answers the load pattern of clients that open
// connections and send nothing, until there are no descriptors for others.
type silentList struct {
	order     *list.List
	byAddress map[string]int
}

func newSilentList() silentList {
	return silentList{order: list.New(), byAddress: make(map[string]int)}
}

// add adds a connection. If there are then more than the limits allow, it removes and returns the one to close.
func (l *silentList) add(c *Conn, limit, limitPerAddress int) *Conn {
	c.silent = l.order.PushBack(c)
	l.byAddress[c.address]++
	switch {
	case limitPerAddress > 0 && l.byAddress[c.address] > limitPerAddress:
		return l.removeOldest(func(other *Conn) bool { return other.address == c.address })
	case limit > 0 && l.order.Len() > limit:
		return l.removeOldest(func(*Conn) bool { return true })
	default:
		return nil
	}
}

// maxSilentChecks bounds the system calls to find a connection to close.
const maxSilentChecks = 4

// removeOldest removes and returns the oldest matching connection on which nothing has arrived, or nil if it finds none.
// Connections whose requests have arrived and were not read, for lack of processor time, are taken off the list.
func (l *silentList) removeOldest(matches func(*Conn) bool) *Conn {
	checks := 0
	for e := l.order.Front(); e != nil && checks < maxSilentChecks; {
		next := e.Next()
		if c, ok := e.Value.(*Conn); ok && matches(c) {
			checks++
			l.remove(c)
			if !sockopt.HasUnread(c.Conn) {
				return c
			}
		}
		e = next
	}
	return nil
}

// remove removes a connection. Further calls do nothing.
func (l *silentList) remove(c *Conn) {
	if c.silent == nil {
		return
	}
	l.order.Remove(c.silent)
	c.silent = nil
	l.byAddress[c.address]--
	if l.byAddress[c.address] == 0 {
		delete(l.byAddress, c.address)
	}
}
