package order

import (
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// Defaults of Options.
const (
	defaultInterval       = time.Second
	defaultReadBack       = 10 * time.Second
	defaultStableFor      = 5 * time.Second
	defaultOrderPause     = 30 * time.Second
	defaultMaxOrderPause  = 5 * time.Minute
	defaultSendWindow     = 2 * time.Second
	defaultLoadTimeout    = 10 * time.Minute
	defaultStorePause     = 5 * time.Second
	defaultMaxLoading     = 4
	defaultLoadsPerMinute = 12
)

// Options configure a Controller. A zero duration or count means its default.
type Options struct {
	Store   kv.Store
	Engines Engines
	Config  Config
	// Owns says whether this router gives the orders to an engine now.
	Owns func(ident.BackendID) bool
	// Self and Incarnation make the ids of order records unique.
	Self        ident.RouterID
	Incarnation ident.Incarnation

	// Interval is the time between two passes over the engines. Default 1 s.
	Interval time.Duration
	// ReadBack is the time between two reads of the state of an engine that has what it should. Default 10 s.
	ReadBack time.Duration
	// StableFor is how long a target must be unchanged before it is ordered. Default 5 s.
	StableFor time.Duration
	// OrderPause is the shortest time between two orders to an engine. It doubles with each order that is not
	// confirmed, up to MaxOrderPause. Defaults 30 s and 5 min.
	OrderPause, MaxOrderPause time.Duration
	// SendWindow is how long after the start of its record's write an order may be sent. It keeps an owner that was
	// paused in between from sending an old order. Default 2 s.
	SendWindow time.Duration
	// LoadTimeout is when a load that nobody confirmed stops counting against MaxLoading. Default 10 min.
	LoadTimeout time.Duration
	// StorePause is the pause after the store failed or the weight store's rate was used up. Default 5 s.
	StorePause time.Duration
	// MaxLoading and LoadsPerMinute are the weight store's limits for the whole fleet. Defaults 4 and 12.
	MaxLoading, LoadsPerMinute int
	Logger                     *zap.Logger
}

func (o Options) withDefaults() Options {
	orDefault(&o.Interval, defaultInterval)
	orDefault(&o.ReadBack, defaultReadBack)
	orDefault(&o.StableFor, defaultStableFor)
	orDefault(&o.OrderPause, defaultOrderPause)
	orDefault(&o.MaxOrderPause, defaultMaxOrderPause)
	orDefault(&o.SendWindow, defaultSendWindow)
	orDefault(&o.LoadTimeout, defaultLoadTimeout)
	orDefault(&o.StorePause, defaultStorePause)
	orDefault(&o.MaxLoading, defaultMaxLoading)
	orDefault(&o.LoadsPerMinute, defaultLoadsPerMinute)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}

func orDefault[T time.Duration | int](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
