package order

import (
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/fencing"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// Defaults of Options.
const (
	defaultInterval         = time.Second
	defaultReadBackInterval = 10 * time.Second
	defaultStableFor        = 5 * time.Second
	defaultOrderBackoff     = 30 * time.Second
	defaultMaxOrderBackoff  = 5 * time.Minute
	defaultSendWindow       = 2 * time.Second
	defaultLoadTimeout      = 10 * time.Minute
	defaultStoreBackoff     = 5 * time.Second
	defaultMaxLoading       = 4
	defaultLoadsPerMinute   = 12
)

// Options configure a Controller. A zero duration or count means its default.
type Options struct {
	Store   kv.Store
	Engines Engines
	Config  Config
	// Owns reports whether this router owns an engine now.
	Owns func(ident.BackendID) bool
	// Self and Incarnation make the ids of order records unique.
	Self        ident.RouterID
	Incarnation ident.Incarnation
	// Fencing makes the fencing numbers from the revisions of the order records. Nil means the revisions themselves,
	// which the store assigns again after a restore.
	Fencing *fencing.Numbers

	// Interval is the time between two passes over the engines. Default 1 s.
	Interval time.Duration
	// ReadBackInterval is the time between two reads of the state of an engine that has its target or did not answer.
	// Default 10 s.
	ReadBackInterval time.Duration
	// StableFor is how long a target must be unchanged before it is ordered. Default 5 s.
	StableFor time.Duration
	// OrderBackoff is the shortest time between two orders to an engine. It doubles with each order that is not
	// confirmed, up to MaxOrderBackoff. Defaults 30 s and 5 min.
	OrderBackoff, MaxOrderBackoff time.Duration
	// SendWindow is how long after the start of the write of its record an order may be sent. It keeps an owner that was
	// paused in between from sending an old order. Default 2 s.
	SendWindow time.Duration
	// LoadTimeout is the time after which an unconfirmed load no longer counts towards MaxLoading. Default 10 min.
	LoadTimeout time.Duration
	// StoreBackoff is the time without store calls after the store failed or a weight store limit was reached. Default
	// 5 s.
	StoreBackoff time.Duration
	// MaxLoading and LoadsPerMinute are the weight store's limits for the whole fleet. Defaults 4 and 12.
	MaxLoading, LoadsPerMinute int
	Logger                     *zap.Logger
}

func (o Options) withDefaults() Options {
	setDefault(&o.Interval, defaultInterval)
	setDefault(&o.ReadBackInterval, defaultReadBackInterval)
	setDefault(&o.StableFor, defaultStableFor)
	setDefault(&o.OrderBackoff, defaultOrderBackoff)
	setDefault(&o.MaxOrderBackoff, defaultMaxOrderBackoff)
	setDefault(&o.SendWindow, defaultSendWindow)
	setDefault(&o.LoadTimeout, defaultLoadTimeout)
	setDefault(&o.StoreBackoff, defaultStoreBackoff)
	setDefault(&o.MaxLoading, defaultMaxLoading)
	setDefault(&o.LoadsPerMinute, defaultLoadsPerMinute)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}

func setDefault[T time.Duration | int](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
