package gateway

import (
	"syscall"

	"github.com/prometheus/client_golang/prometheus"

	"gooseberrytide.example/gooseberrytide/internal/coordination/memory"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/internal/transport/clientconn"
	"gooseberrytide.example/gooseberrytide/platform"
)

const (
	// accountFraction is the fraction of the memory limit that connections, requests, bodies and unread responses may
	// take. With the 17 to 25 MB of a router without load it stays below memoryLimitFraction, so that the runtime need
	// not collect garbage all the time.
	accountFraction = 0.35
	// internalAccountFraction is the same for the connections of the ports that are not the callers'. They have an account of
	// their own: readiness, the directory and other routers must not depend on what callers hold.
	internalAccountFraction = 0.12
	// silentFraction is the fraction of the file descriptors that connections which have sent nothing may take.
	// silentAddressFraction is the fraction of these for one address.
	silentFraction        = 0.125
	silentAddressFraction = 0.5
	// maxSilent bounds the connections that have sent nothing where there are very many descriptors.
	maxSilent = 1024
)

// clientLimits limits what clients may take of the router's memory and descriptors.
type clientLimits struct {
	account *memory.Account
	// internalAccount is charged for the connections of internal.
	internalAccount *memory.Account
	// callers holds the connections of the callers' port, passed those that other routers pass on, internal those of the
	// other ports.
	callers, passed, internal *clientconn.Tracker
}

func newClientLimits(n *Node) *clientLimits {
	ended := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrytide_ended_clients_total", Help: "Connections of clients that were ended for a limit, by reason.",
	}, []string{"reason"})
	n.registry.MustRegister(ended)
	newAccount := func(fraction float64) *memory.Account {
		return memory.NewAccount(int64(fraction * float64(n.settings.MemoryBytes)))
	}
	l := &clientLimits{account: newAccount(accountFraction), internalAccount: newAccount(internalAccountFraction)}
	silent := silentLimit()
	opts := clientconn.Options{
		Limits:    n.clientLimitsInForce,
		Account:   l.account,
		MaxSilent: silent,
		Record:    func(r clientconn.Reason) { ended.WithLabelValues(string(r)).Inc() },
		Log:       n.log.Named("clients"),
	}
	l.passed = clientconn.NewTracker(opts)
	callers, internal := opts, opts
	callers.MaxSilentPerAddress = int(silentAddressFraction * float64(silent))
	l.callers = clientconn.NewTracker(callers)
	internal.WaitForClients = true
	internal.Account = l.internalAccount
	l.internal = clientconn.NewTracker(internal)
	return l
}

// clientLimitsInForce returns the operators' limits in force.
func (n *Node) clientLimitsInForce() routing.Limits {
	if table := n.routing.Load(); table != nil {
		return table.Limits
	}
	return platform.DefaultLimits()
}

// silentLimit returns how many connections may have sent nothing, by the process's limit of file descriptors.
func silentLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return maxSilent
	}
	return int(min(silentFraction*float64(limit.Cur), maxSilent))
}

// unread returns the number of connections with a response that has been written and that the system has not accepted
// completely.
func (l *clientLimits) unread() int { return l.callers.Unread() + l.passed.Unread() }

// unsent returns the number of connections with a response that the system has accepted and not sent completely.
func (l *clientLimits) unsent() int { return l.callers.Unsent() + l.passed.Unsent() }
