package engine

import "time"

// Defaults of Options.
const (
	defaultSlots        = 8
	defaultPrefillRate  = 20000
	defaultDecodeRate   = 50
	defaultCacheEntries = 4096
	defaultLoadInterval = 500 * time.Millisecond
	defaultKeepAlive    = 2 * time.Second
	defaultModel        = "stand-in"
	defaultVersion      = "v1"
	// bytesPerToken is the simulated length of a prompt token in bytes.
	bytesPerToken = 4
)

// Options configures an engine. A zero field selects its default.
type Options struct {
	// Slots is the number of requests that run at once. Default 8.
	Slots int
	// PrefillRate is the prefill rate per request in tokens/s. Default 20,000.
	PrefillRate float64
	// DecodeRate is the decode rate per request in tokens/s. Default 50.
	DecodeRate float64
	// TokensPerEvent is the number of tokens in one event. Default 1.
	TokensPerEvent int
	// Seed determines the generated tokens. Engines of one model use the same seed.
	Seed uint64
	// NaturalStop lets completions end before max_tokens, at a length that the seed and the prompt determine.
	NaturalStop bool
	// CacheEntries is the capacity of the prefix cache in prefixes. Default 4,096.
	CacheEntries int
	// LoadInterval is the time between load reports. Default 500 ms.
	LoadInterval time.Duration
	// LoadLag is the age of the load in a load report.
	LoadLag time.Duration
	// CacheDelay is the delay of cache events.
	CacheDelay time.Duration
	// CacheGapEvery drops every n-th cache event. 0 drops none.
	CacheGapEvery int
	// KeepAlive is the interval of the keep-alive comments in the stream of a waiting request. Default 2 s.
	KeepAlive time.Duration
	// Model and Version are loaded at the start. Defaults "stand-in" and "v1".
	Model, Version string
	// AnyModel accepts requests for every model.
	AnyModel bool
	// LoadDuration is the time from the acceptance of an order until it is applied.
	LoadDuration time.Duration
	// CheckFencing refuses orders with an old fencing number. If false, the number is ignored.
	CheckFencing bool
}

func (o Options) withDefaults() Options {
	orDefault(&o.Slots, defaultSlots)
	orDefault(&o.PrefillRate, defaultPrefillRate)
	orDefault(&o.DecodeRate, defaultDecodeRate)
	orDefault(&o.TokensPerEvent, 1)
	orDefault(&o.CacheEntries, defaultCacheEntries)
	orDefault(&o.LoadInterval, defaultLoadInterval)
	orDefault(&o.KeepAlive, defaultKeepAlive)
	orDefault(&o.Model, defaultModel)
	orDefault(&o.Version, defaultVersion)
	return o
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
