package sockopt

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkPeriod is the time between two checks of the peers that have not acknowledged all data.
	checkPeriod = 500 * time.Millisecond
	// maxProbePause is the longest pause between two probes of a closed window. The system doubles it otherwise, up to two
	// minutes, and a slow peer that is gone would be noticed late.
	maxProbePause = time.Second
	// tcpMaxRTO is TCP_RTO_MAX_MS of tcp(7), since Linux 6.15. It bounds the pauses between probes, too.
	tcpMaxRTO = 44
	// tcpClosed is the state TCP_CLOSE of tcp(7).
	tcpClosed = 7
)

// peer is the other end of a connection.
type peer struct {
	conn net.Conn
	// watchable is set if the system tells what the peer has acknowledged.
	watchable atomic.Bool
	// watched is set while the peer is in the list of the watcher.
	watched atomic.Bool
	// progressAt is when the peer was last known to respond, or when data was written after it had acknowledged all, as
	// the time since processStart.
	progressAt atomic.Int64

	// The remaining fields are used by the watcher only. acked is the number of bytes that the peer had acknowledged at the
	// last check, unanswered is set if a probe of its closed window had not been answered then, and slow is set once its
	// window was found closed.
	acked      uint64
	unanswered bool
	slow       bool
}

// processStart is the origin of times that are kept as numbers.
var processStart = time.Now()

// Values of systemInfo.
const (
	infoUntried int32 = iota
	infoKnown
	infoUnknown
)

// systemInfo tells whether the system fills in the state of a connection (TCP_INFO) completely. A simulated one may not.
var systemInfo atomic.Int32

// startWatch returns false if the system does not tell what the peer has acknowledged.
func (p *peer) startWatch() bool {
	if systemInfo.Load() == infoUntried {
		info, err := tcpInfo(p.conn)
		if err != nil {
			return false
		}
		known := infoUnknown
		if info.Rcv_space > 0 {
			known = infoKnown
		}
		systemInfo.Store(known)
	}
	known := systemInfo.Load() == infoKnown
	p.watchable.Store(known)
	return known
}

// recordWrite is called when data has been written to the peer, and before that by a write that may wait.
func (p *peer) recordWrite() {
	if p != nil && p.watchable.Load() && !p.watched.Swap(true) {
		p.progressAt.Store(int64(time.Since(processStart)))
		slowPeers.add(p)
	}
}

// check resets the connection if the peer does not respond. It returns false if the peer need not be checked again until
// more is written.
func (p *peer) check() bool {
	now := time.Since(processStart)
	info, err := tcpInfo(p.conn)
	if err != nil || info.State == tcpClosed {
		return false
	}
	progress := info.Bytes_acked != p.acked
	p.acked = info.Bytes_acked
	if info.Unacked == 0 && info.Notsent_bytes == 0 {
		return false
	}
	progressAt := time.Duration(p.progressAt.Load())
	if p.answersProbes(info) || progress {
		lastResponse := now - time.Duration(info.Last_ack_recv)*time.Millisecond
		p.progressAt.Store(int64(max(progressAt, lastResponse)))
		return true
	}
	if now-progressAt >= userTimeout {
		Reset(p.conn)
		return false
	}
	return true
}

// answersProbes reports whether the window of the peer is closed and the peer has lately responded to the probes of it. One
// probe may be on its way.
func (p *peer) answersProbes(info *unix.TCPInfo) bool {
	windowClosed := info.Unacked == 0 || info.Snd_wnd == 0
	if !windowClosed {
		p.unanswered = false
		return false
	}
	p.limitProbePause()
	wasUnanswered := p.unanswered
	p.unanswered = info.Probes > 0 || info.Retransmits > 0
	return !p.unanswered || !wasUnanswered
}

// limitProbePause bounds the pauses between the probes of a closed window. An older system ignores this.
func (p *peer) limitProbePause() {
	if !p.slow {
		p.slow = true
		_ = control(p.conn, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, tcpMaxRTO, int(maxProbePause.Milliseconds()))
		})
	}
}

// watcher checks the peers that have not acknowledged all data. It is safe for concurrent use.
type watcher struct {
	mu      sync.Mutex
	peers   []*peer
	running bool
}

var slowPeers watcher

func (w *watcher) add(p *peer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peers = append(w.peers, p)
	if !w.running {
		w.running = true
		go w.run()
	}
}

// run checks the peers until there are none.
func (w *watcher) run() {
	for peers := w.take(); len(peers) > 0; peers = w.take() {
		for _, p := range peers {
			p.watched.Store(false) // a write during the check adds the peer again
			if p.check() && !p.watched.Swap(true) {
				w.add(p)
			}
		}
	}
}

// take waits for the next check and returns the peers to check.
func (w *watcher) take() []*peer {
	time.Sleep(checkPeriod)
	w.mu.Lock()
	defer w.mu.Unlock()
	peers := w.peers
	w.peers = nil
	w.running = len(peers) > 0
	return peers
}

// tcpInfo returns the state of a connection. The error wraps net.ErrClosed if this process has closed it.
func tcpInfo(conn net.Conn) (*unix.TCPInfo, error) {
	var info *unix.TCPInfo
	err := control(conn, func(fd int) error {
		var err error
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return info, err
}

// SinceReceived returns for how long data on a connection, of which some has been read, has waited at least: the time since
// the last data arrived. It returns 0 if the system does not tell.
func SinceReceived(conn net.Conn) time.Duration {
	info, err := tcpInfo(conn)
	if err != nil || info.Rcv_space == 0 {
		return 0 // a simulated system may not fill in the state completely
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// Unsent returns the number of bytes that were written to an open connection and not sent, since its peer does not read.
// It returns 0 if that is not known.
func Unsent(conn net.Conn) int {
	if p := peerOf(conn); p == nil || !p.watchable.Load() {
		return 0
	}
	info, err := tcpInfo(conn)
	if err != nil || info.State == tcpClosed {
		return 0
	}
	return int(info.Notsent_bytes)
}

// control calls f with the descriptor of a TCP connection.
func control(conn net.Conn, f func(fd int) error) error {
	tcp, ok := As[*net.TCPConn](conn)
	if !ok {
		return syscall.ENOTSOCK
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}
