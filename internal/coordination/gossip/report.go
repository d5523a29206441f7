package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
)

// maxDatagram bounds a report. Larger datagrams would be split on the way.
const maxDatagram = 1400

// Report is what a router tells of itself.
type Report struct {
	Router      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint"`
	// CallerAddress is where clients connect; Domain is the router's failure domain.
	CallerAddress string `cbor:"4,keyasint,omitempty"`
	Domain        string `cbor:"5,keyasint,omitempty"`
	// Ready routers take new clients.
	Ready bool `cbor:"6,keyasint,omitempty"`
	// Loads are what the sender puts on each backend server. They are empty in a fleet with owners.
	Loads []reservation.ServerLoad `cbor:"7,keyasint,omitempty"`
	Teams []ServicePart            `cbor:"8,keyasint,omitempty"`
	// Owned says that loads are told to owners; Totals are the loads, from all routers, of the servers that the sender owns.
	Owned  bool                     `cbor:"15,keyasint,omitempty"`
	Totals []reservation.ServerLoad `cbor:"16,keyasint,omitempty"`
	// Queue is the number of waiting requests.
	Queue int `cbor:"9,keyasint,omitempty"`
	// Rate is the sender's rate of requests per second, Cores its part of a processor.
	Rate  float32 `cbor:"11,keyasint,omitempty"`
	Cores float32 `cbor:"12,keyasint,omitempty"`
	// Busy says that the sender waits for the processor.
	Busy bool `cbor:"13,keyasint,omitempty"`
	// Parts are the parts of prompts that servers keep since the sender's last reports.
	Parts []PartsKept `cbor:"10,keyasint,omitempty"`
	// Proof is what the sender knows of the store. Not each report has one.
	Proof *Proof `cbor:"14,keyasint,omitempty"`
}

// Proof says that the sender had the store's state of a revision, confirmed some time before the report.
type Proof struct {
	_        struct{} `cbor:",toarray"`
	Revision int64
	AgeMS    int64
	// Echoes are the numbers of the latest reports that the sender has heard, by router.
	Echoes map[string]uint64
}

// PartsKept are parts of prompts that one backend server keeps.
type PartsKept struct {
	_      struct{} `cbor:",toarray"`
	Server string
	IDs    []uint64
}

// ServicePart is what a team asked of the sender and got from it lately, in faded tokens.
type ServicePart struct {
	_      struct{} `cbor:",toarray"`
	Team   string
	Served float32
	Asked  float32
	// Waiting says that requests of the team wait at the sender.
	Waiting bool
}

// Encode returns the datagram of a report. Parts that do not fit are left out, the smallest first.
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

// Decode returns the report in a datagram.
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

// LoadTable returns the loads by server.
func (r *Report) LoadTable() map[string]engineload.Load {
	loads := make(map[string]engineload.Load, len(r.Loads))
	for _, p := range r.Loads {
		loads[p.Server] = p.Load
	}
	return loads
}

// TeamTable returns what teams asked and got.
func (r *Report) TeamTable() map[string]fairshare.Part {
	parts := make(map[string]fairshare.Part, len(r.Teams))
	for _, p := range r.Teams {
		parts[p.Team] = fairshare.Part{
			Served:  max(float64(p.Served), 0),
			Asked:   max(float64(p.Asked), 0),
			Waiting: p.Waiting,
		}
	}
	return parts
}

// Periods of reports.
const (
	// basePeriod is the period in a fleet of up to baseRouters.
	basePeriod  = 40 * time.Millisecond
	baseRouters = 8
	// QuietPeriod is the period of reports to routers that take no requests. It keeps the sender in the directory.
	QuietPeriod = 400 * time.Millisecond
)

// Period returns the time between reports in a fleet of the given size.
func Period(routers int) time.Duration {
	if routers <= baseRouters {
		return basePeriod
	}
	return min(basePeriod*time.Duration(routers)/baseRouters, QuietPeriod)
}
