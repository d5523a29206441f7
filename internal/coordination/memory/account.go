package memory

import "sync"

const (
	// overdraft is the share of the limit by which the memory may exceed it for teams that do not hold the most, and until
	// holders that are being ended have released their memory.
	overdraft = 0.25
	// maxOrdinaryBytes is the size up to which a holder may take the place of idle ones of its team. Otherwise the idle
	// connections of a team, each larger than a small request, would make its requests be refused; and one large response
	// would end them all.
	maxOrdinaryBytes = 256 << 10
	// maxEndedAtOnce bounds the holders that one reservation ends.
	maxEndedAtOnce = 64
)

// Account is the memory of a router that is held for clients. It is safe for concurrent use, and never blocks. The methods
// of a nil Account and of a nil Holder grant everything.
type Account struct {
	limit, hardLimit int64

	mu sync.Mutex
	// used is the sum of all holders, ending the part of it whose holders are being ended.
	used, ending int64
	teams        map[string]*team
}

// NewAccount returns an account with a limit in bytes.
func NewAccount(limit int64) *Account {
	return &Account{limit: limit, hardLimit: limit + int64(overdraft*float64(limit)), teams: make(map[string]*team)}
}

// Limit returns the limit in bytes.
func (a *Account) Limit() int64 { return a.limit }

// Used returns the memory that is held, in bytes.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Open reserves memory for a team and returns its holder, or false if it is refused. end ends the holder's work, so that it
// releases its memory soon, and reports whether it did; it is called only while the holder may be ended, and must not
// block. It may be nil.
func (a *Account) Open(name string, bytes int64, end func() bool) (*Holder, bool) {
	if a == nil {
		return nil, true
	}
	h := &Holder{account: a, end: end}
	a.mu.Lock()
	h.team = a.join(name)
	a.mu.Unlock()
	if h.Grow(bytes) {
		return h, true
	}
	h.Close()
	return nil, false
}

// join returns the team with a name and counts a holder. The account must be locked.
func (a *Account) join(name string) *team {
	t := a.teams[name]
	if t == nil {
		t = &team{name: name}
		a.teams[name] = t
	}
	t.holders++
	return t
}

// leave removes a holder from its team. The account must be locked.
func (a *Account) leave(t *team) {
	t.holders--
	if t.holders == 0 {
		delete(a.teams, t.name)
	}
}

// add changes the memory of a holder, which must not be in a list. The account must be locked.
func (a *Account) add(h *Holder, bytes int64) {
	h.bytes += bytes
	a.used += bytes
	h.team.used += bytes
	if h.ended {
		a.ending += bytes
		h.team.ending += bytes
	}
}

// resize changes the memory of a holder and puts it into the list of its size. The account must be locked.
func (a *Account) resize(h *Holder, bytes int64) {
	h.unlist()
	a.add(h, bytes)
	h.list()
}

// makeRoom reports whether a holder may take more memory, and marks the holders that are to be ended for it. The account
// must be locked.
func (a *Account) makeRoom(h *Holder, bytes int64) (victims []*Holder, ok bool) {
	for a.used-a.ending+bytes > a.limit {
		largest := a.largest(h.team, bytes)
		victim := largest.largestHolder(h)
		if largest == h.team && (victim == nil || victim.bytes <= h.bytes+bytes) {
			victim = nil
			if h.bytes+bytes <= maxOrdinaryBytes {
				victim = largest.idle.firstExcept(h)
			}
			if victim == nil {
				return victims, false
			}
		}
		if victim == nil || len(victims) == maxEndedAtOnce {
			return victims, largest != h.team && a.used+bytes <= a.hardLimit
		}
		victim.markEnded()
		victims = append(victims, victim)
	}
	return victims, a.used+bytes <= a.hardLimit
}

// largest returns the team that holds the most, if the asking team gets more. The account must be locked.
func (a *Account) largest(asking *team, bytes int64) *team {
	largest, most := asking, asking.remaining()+bytes
	for _, t := range a.teams {
		if remaining := t.remaining(); remaining > most {
			largest, most = t, remaining
		}
	}
	return largest
}
