package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverdrain"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// maxDatagram is the maximum size of an encoded report, in bytes. Larger datagrams would be fragmented.
const maxDatagram = 1400

// Report is the state that a router reports about itself.
type Report struct {
	Router      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint"`
	// CallerAddress is the address to which clients connect; Domain is the router's failure domain.
	CallerAddress string `cbor:"4,keyasint,omitempty"`
	Domain        string `cbor:"5,keyasint,omitempty"`
	// Ready is set if the sender takes new clients.
	Ready bool `cbor:"6,keyasint,omitempty"`
	// Loads are the loads that the sender puts on backend servers. They are empty in a fleet with owners.
	Loads []reservation.ServerLoad `cbor:"7,keyasint,omitempty"`
	Teams []TeamUsage              `cbor:"8,keyasint,omitempty"`
	// Owned is set if the sender reports loads to the owners of servers. Totals are the loads, from all routers, of the
	// servers that the sender owns.
	Owned  bool                     `cbor:"15,keyasint,omitempty"`
	Totals []reservation.ServerLoad `cbor:"16,keyasint,omitempty"`
	// Queue is the number of waiting requests.
	Queue int `cbor:"9,keyasint,omitempty"`
	// Rate is the sender's request rate, in requests per second. Cores is the number of CPU cores that it may use.
	Rate  float32 `cbor:"11,keyasint,omitempty"`
	Cores float32 `cbor:"12,keyasint,omitempty"`
	// Busy is set if the sender lacks CPU time.
	Busy bool `cbor:"13,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration that the sender has in force.
	ConfigVersion int64 `cbor:"17,keyasint,omitempty"`
	// IntervalMS is the longest time until all routers have the sender's next sign of life, in milliseconds; 0 means
	// MaxPeriod.
	IntervalMS int `cbor:"18,keyasint,omitempty"`
	// Parts are the parts of prompts that servers have cached since the sender's last reports.
	Parts []CachedParts `cbor:"10,keyasint,omitempty"`
	// Proof shows how recent the sender's knowledge of the store is. Not every report has one.
	Proof *Proof `cbor:"14,keyasint,omitempty"`
	// ProofEra is the store's era of Proof.
	ProofEra int64 `cbor:"19,keyasint,omitempty"`
	// Draining lists the backend servers whose responses to the sender said that they leave.
	Draining []serverdrain.Incarnation `cbor:"20,keyasint,omitempty"`
	// ConfirmedEra is the store's era in which the sender last confirmed its state.
	ConfirmedEra int64 `cbor:"24,keyasint,omitempty"`
	// StoreContact is the sender's contact with the store, or nil if its last call failed.
	StoreContact *StoreContact `cbor:"25,keyasint,omitempty"`
	// KnowsYielding is set if the sender, as an owner, understands a reservation.YieldingPermitRequest.
	KnowsYielding bool `cbor:"26,keyasint,omitempty"`
}

// StoreContact states that no call of the store has failed for BeganMS milliseconds and that the store last answered AnsweredMS
// milliseconds ago.
type StoreContact struct {
	_          struct{} `cbor:",toarray"`
	BeganMS    int64
	AnsweredMS int64
}

// Position returns the position of the store that the proof states. The report must have a proof.
func (r *Report) Position() kv.Position {
	return kv.Position{Era: kv.Era(r.ProofEra), Revision: kv.Revision(r.Proof.Revision)}
}

// minActiveRate is the request rate, in requests per second, from which a router counts as active whatever its requests
// are. Operators and callers send a few requests to every router, which only check what it has in force.
const minActiveRate = 5

// Active reports whether the sender places requests on model engines, or has many requests. Such a router needs to know
// each change of the loads at once.
func (r *Report) Active() bool {
	return r.Rate >= minActiveRate || r.Queue > 0 || len(r.Loads)+len(r.Teams)+len(r.Parts) > 0
}

// Idle reports whether the sender is not active and knows nothing that other routers need soon. A router that is not
// ready may be idle: others only need to know at once when that changes.
func (r *Report) Idle() bool { return !r.Busy && !r.Active() && len(r.Totals) == 0 }

// Proof states that the sender had the store's state of a revision, and that this state was confirmed AgeMS
// milliseconds before the report.
type Proof struct {
	_        struct{} `cbor:",toarray"`
	Revision int64
	AgeMS    int64
	// Echoes are the sequence numbers of the latest reports that the sender has received, by router.
	Echoes map[string]uint64
}

// CachedParts lists parts of prompts that one backend server has cached.
type CachedParts struct {
	_      struct{} `cbor:",toarray"`
	Server string
	IDs    []uint64
}

// TeamUsage is the recent service and demand of a team at the sender, in decayed tokens.
type TeamUsage struct {
	_    struct{} `cbor:",toarray"`
	Team string
	// Served is the service that the team received; Asked is the service that it requested.
	Served float32
	Asked  float32
	// Waiting is set if requests of the team wait at the sender.
	Waiting bool
}

// Encode returns the datagram of a report. If it is too large, entries are dropped from the end of the lists until it
// fits: first of Parts, then of Loads and Teams. Loads and Teams must be sorted so that the entries that
// may be dropped come last. Encode modifies r.
func (r *Report) Encode() ([]byte, error) {
	for {
		data, err := cbor.Marshal(r)
		if err != nil {
			return nil, errors.Wrap(err, "gossip: encode")
		}
		if len(data) <= maxDatagram || len(r.Loads)+len(r.Teams)+len(r.Parts) == 0 {
			return data, nil
		}
		if len(r.Parts) > 0 {
			r.Parts = r.Parts[:len(r.Parts)/2]
			continue
		}
		r.Loads = r.Loads[:len(r.Loads)*3/4]
		r.Teams = r.Teams[:len(r.Teams)*3/4]
	}
}

// Decode returns the report in a datagram. It returns an error if the report names no router.
func Decode(data []byte) (*Report, error) {
	r := new(Report)
	if err := cbor.Unmarshal(data, r); err != nil {
		return nil, errors.Wrap(err, "gossip: decode")
	}
	if r.Router == "" {
		return nil, errors.New("gossip: report without a router")
	}
	return r, nil
}

// LoadsByServer returns Loads by server.
func (r *Report) LoadsByServer() map[string]engineload.Load {
	loads := make(map[string]engineload.Load, len(r.Loads))
	for _, l := range r.Loads {
		loads[l.Server] = l.Load
	}
	return loads
}

// UsageByTeam returns Teams by team, with negative amounts set to 0.
func (r *Report) UsageByTeam() map[string]fairshare.Usage {
	usage := make(map[string]fairshare.Usage, len(r.Teams))
	for _, u := range r.Teams {
		usage[u.Team] = fairshare.Usage{
			Served:  max(float64(u.Served), 0),
			Asked:   max(float64(u.Asked), 0),
			Waiting: u.Waiting,
		}
	}
	return usage
}

const (
	// basePeriod is the report period in a fleet of up to baseRouters routers.
	basePeriod  = 40 * time.Millisecond
	baseRouters = 8
	// MaxPeriod is the longest report period. In a fleet without relays it is the period of reports to routers that take
	// no requests, and keeps the sender in the directory.
	MaxPeriod = 400 * time.Millisecond
)

const (
	// RelayedFleet is the size of a fleet above which relays tell the routers who is live. In a smaller fleet each router
	// reports to all others, so that the cost grows with the square of the fleet.
	RelayedFleet = 32
	// RelayPeriod is the time between the lists of one relay.
	RelayPeriod = 800 * time.Millisecond
	// RelayedInterval is the interval that a router without requests states in a relayed fleet: a report to the relays
	// and a list of a relay take up to MaxPeriod and RelayPeriod, unless several relays are lost.
	RelayedInterval = 900 * time.Millisecond
	// AnnouncePeriod is the mean time between the announcements that a router sends to all others in a relayed fleet, for
	// those that have missed an earlier one.
	AnnouncePeriod = 15 * time.Second
)

// Period returns the time between reports in a fleet with the given number of routers.
func Period(routers int) time.Duration {
	if routers <= baseRouters {
		return basePeriod
	}
	return min(basePeriod*time.Duration(routers)/baseRouters, MaxPeriod)
}
