package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/freshness"
	"gooseberrytide.example/gooseberrytide/internal/coordination/ownership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/pending"
	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/transport/upstream"
)

const (
	// evidencePeriod is how often recent evidence is sent to evidenceFanout random routers. With this fan-out it reaches
	// each of 300 routers within two seconds, and a router that starts within one.
	evidencePeriod = 250 * time.Millisecond
	evidenceFanout = 3
	// announceInterval is the shortest time between two announcements of a proof that refutes evidence of others;
	// maxAnnounced is the number of fingerprints for which it is kept.
	announceInterval = 500 * time.Millisecond
	maxAnnounced     = 1024
	// suspectOwnerKey is the beginning of the key of the rendezvous ranking that selects the owner of a fingerprint.
	suspectOwnerKey = "prompt-part-"
	// maxLoggedSuspects bounds the suspects in the log line of a crash.
	maxLoggedSuspects = 32
)

// poisonGuard exchanges the evidence about requests that crash servers with the other routers, and the trials of suspected
// fingerprints. It implements poison.Trials.
type poisonGuard struct {
	node  *Node
	guard *poison.Guard
	calls *pending.Calls[poison.TrialAnswer]
	// crashes counts the crashes of servers that this router saw, trials the requests for a trial by outcome.
	crashes prometheus.Counter
	trials  *prometheus.CounterVec

	mu sync.Mutex
	// announced holds the times at which this router has last announced a proof that refutes evidence of others.
	announced map[poison.Fingerprint]time.Time
}

var _ poison.Trials = (*poisonGuard)(nil)

// newPoisonGuard returns the guard of a node and registers its metrics.
func newPoisonGuard(n *Node) *poisonGuard {
	g := &poisonGuard{
		node:      n,
		calls:     pending.NewCalls[poison.TrialAnswer](),
		announced: make(map[poison.Fingerprint]time.Time),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrytide_server_crashes_total",
			Help: "Crashes of backend servers on which this router had requests.",
		}),
		trials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrytide_part_trials_total",
			Help: "Suspected requests that asked to be sent as a trial, by outcome: granted, denied, unanswered.",
		}, []string{"outcome"}),
	}
	g.guard = poison.NewGuard(poison.Options{
		Clock:     freshness.BootTime,
		Probe:     n.probeServer,
		Trials:    g,
		OnCrash:   g.onCrash,
		OnCleared: g.onCleared,
	})
	n.registry.MustRegister(g.crashes, g.trials,
		g.stateGauge("suspected_parts", "Parts of prompts that are suspected of crashing backend servers.",
			poison.KindPart, poison.Suspected),
		g.stateGauge("blocked_parts", "Parts of prompts that are blocked because they crash backend servers.",
			poison.KindPart, poison.Blocked),
		g.stateGauge("suspected_requests", "Requests that are suspected as a whole of crashing backend servers.",
			poison.KindRequest, poison.Suspected),
		g.stateGauge("blocked_requests", "Requests that are blocked as a whole because they crash backend servers.",
			poison.KindRequest, poison.Blocked))
	return g
}

// stateGauge returns a gauge of the number of fingerprints of a kind in a state.
func (g *poisonGuard) stateGauge(name, help string, kind poison.Kind, state poison.State) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "gooseberrytide_" + name, Help: help}, func() float64 {
		count := 0
		for _, s := range g.guard.List() {
			if s.State == state && s.Fingerprint.Kind == kind {
				count++
			}
		}
		return float64(count)
	})
}

// probeServer returns the state of a server by attempts to connect to it. A server whose end is expected counts as alive.
func (n *Node) probeServer(ctx context.Context, server *backends.Server) poison.ServerState {
	if n.endIsExpected(server) {
		return poison.ServerAlive
	}
	switch n.pool.Probe(ctx, server.Key(), server.Address) {
	case upstream.PortRefusing:
		return poison.ServerEnded
	case upstream.PortClosing:
		return poison.ServerClosing
	default:
		return poison.ServerAlive
	}
}

// endIsExpected reports whether a server has announced its end, or its entry is gone or that of another start.
func (n *Node) endIsExpected(server *backends.Server) bool {
	current := n.servers.Load().Get(server.ID)
	return current == nil || !current.SameStart(server) || current.Draining || n.admission.Draining(server.ID)
}

// onCrash is called after a crash that this router saw.
func (g *poisonGuard) onCrash(server *backends.Server, candidates int, fingerprints []poison.Fingerprint) {
	g.crashes.Inc()
	g.node.admission.ForgetCache(server.ID)
	g.node.log.Info("backend server crashed", zap.String("server", server.ID), zap.Int("candidates", candidates),
		zap.Stringers("suspects", fingerprints[:min(len(fingerprints), maxLoggedSuspects)]))
	g.send(g.guard.Evidence(fingerprints), g.others()...)
}

// onCleared is called with the fingerprints that a proof of this router has cleared.
func (g *poisonGuard) onCleared(fingerprints []poison.Fingerprint) {
	for _, fingerprint := range fingerprints {
		g.announceProof(fingerprint)
	}
}

// announceProof makes a proof known: the owner of the fingerprint sends it to all routers, others send it to the owner, so
// that the proofs of many routers for a fingerprint in frequent use do not go to all of them.
func (g *poisonGuard) announceProof(fingerprint poison.Fingerprint) {
	evidence := g.guard.Evidence([]poison.Fingerprint{fingerprint})
	if address, other := g.owner(fingerprint); other {
		g.send(evidence, address)
		return
	}
	g.send(evidence, g.others()...)
}

// handleEvidence handles evidence of another router. Proofs that refute it go back to its sender, and are announced.
func (g *poisonGuard) handleEvidence(m poison.Evidence, from netip.AddrPort) {
	cleared, refuted := g.guard.Merge(m.Fingerprints)
	for _, fingerprint := range cleared {
		if _, other := g.owner(fingerprint); !other {
			g.announceProof(fingerprint)
		}
	}
	g.send(g.guard.Evidence(refuted), from)
	for _, fingerprint := range refuted {
		if g.mayAnnounce(fingerprint, time.Now()) {
			g.announceProof(fingerprint)
		}
	}
}

// mayAnnounce reports whether a proof may be announced again. Many routers send evidence that it refutes.
func (g *poisonGuard) mayAnnounce(fingerprint poison.Fingerprint, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.announced[fingerprint]) < announceInterval {
		return false
	}
	if len(g.announced) >= maxAnnounced {
		clear(g.announced)
	}
	g.announced[fingerprint] = now
	return true
}

// gossip sends the recent evidence to a few random routers.
func (g *poisonGuard) gossip() {
	recent := g.guard.Recent()
	if len(recent) == 0 {
		return
	}
	others := g.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	g.send(recent, others[:min(len(others), evidenceFanout)]...)
}

func (g *poisonGuard) send(fingerprints []poison.FingerprintEvidence, to ...netip.AddrPort) {
	for _, message := range poison.Split(g.node.settings.Router, fingerprints) {
		g.node.send(message, to...)
	}
}

// others returns the addresses of all other routers with an entry in the store.
func (g *poisonGuard) others() []netip.AddrPort {
	registered := g.node.routers.Load()
	if registered == nil {
		return nil
	}
	var list []netip.AddrPort
	for id, r := range *registered {
		if id != g.node.settings.Router {
			list = append(list, r.PeerAddress)
		}
	}
	return list
}

// owner returns the address of the router that grants the trials of a fingerprint. It returns false if that is this router.
func (g *poisonGuard) owner(fingerprint poison.Fingerprint) (netip.AddrPort, bool) {
	ids := []ident.RouterID{ident.RouterID(g.node.settings.Router)}
	for _, p := range g.node.peers.Live(time.Now()) {
		ids = append(ids, ident.RouterID(p.Router))
	}
	owner := string(ownership.Top(suspectOwnerKey+fingerprint.String(), ids, 1)[0])
	registered := g.node.routers.Load()
	if owner == g.node.settings.Router || registered == nil {
		return netip.AddrPort{}, false
	}
	router, ok := (*registered)[owner]
	return router.PeerAddress, ok
}

// Acquire implements poison.Trials.
func (g *poisonGuard) Acquire(ctx context.Context, ask poison.Ask) poison.Answer {
	answer := g.askForTrial(ctx, ask)
	g.trials.WithLabelValues(trialOutcomes[answer]).Inc()
	return answer
}

// trialOutcomes are the values of the label of the trials metric.
var trialOutcomes = [...]string{
	poison.Unanswered: "unanswered", poison.Denied: "denied", poison.Granted: "granted",
}

// askForTrial asks the owner of a fingerprint for a trial.
func (g *poisonGuard) askForTrial(ctx context.Context, ask poison.Ask) poison.Answer {
	router := g.node.settings.Router
	address, other := g.owner(ask.Fingerprint)
	granted := false
	if other {
		answer, ok := g.calls.Call(ctx, address.String(), func(id uint64) {
			g.node.send(poison.TrialRequest{ID: id, Router: router, Ask: ask}, address)
		})
		if !ok {
			return poison.Unanswered
		}
		granted = answer.Granted
	} else {
		granted = g.guard.GrantTrial(router, ask)
	}
	if granted {
		return poison.Granted
	}
	return poison.Denied
}

// Release implements poison.Trials.
func (g *poisonGuard) Release(fingerprint poison.Fingerprint, sent bool) {
	router := g.node.settings.Router
	if address, other := g.owner(fingerprint); other {
		g.node.send(poison.TrialEnd{Router: router, Fingerprint: fingerprint, Sent: sent}, address)
		return
	}
	g.guard.EndTrial(router, fingerprint, sent)
}
