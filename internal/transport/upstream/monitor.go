package upstream

import (
	"sync/atomic"

	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// Monitor tells whether anything of a response has arrived, while another goroutine waits for it. It is safe for
// concurrent use; the zero value is ready to use.
type Monitor struct {
	conn atomic.Pointer[conn]
}

// Unread reports whether bytes have arrived on the connection, or the server has closed it, and the reader has not
// noticed yet. It is false before the request is sent.
func (m *Monitor) Unread() bool {
	c := m.conn.Load()
	return c != nil && sockopt.HasUnread(c.Conn)
}
