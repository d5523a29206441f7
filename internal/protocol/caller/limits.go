package caller

// Limits of callers' requests and answers.
const (
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes = 32 << 10
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes = 4 << 20
	// MaxResponseBytes bounds an answer's body.
	MaxResponseBytes = 8 << 20
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 200
	// MaxPathBytes bounds the path and query that a service gets.
	MaxPathBytes = 8 << 10
	// MaxNameBytes bounds the name of a model, version or service.
	MaxNameBytes = 128
	// MaxTokensLimit is the largest max_tokens.
	MaxTokensLimit = 32768
	// DefaultMaxTokens is used when a request does not state max_tokens.
	DefaultMaxTokens = 256
	// MaxMessages bounds the messages of a chat completion.
	MaxMessages = 1024
	// MaxPrefixes is the largest number of prompt prefix hashes.
	MaxPrefixes = 8
)

// Names of headers.
const (
	HeaderRequestID      = "Gooseberrytide-Request-Id"
	HeaderOutcome        = "Gooseberrytide-Outcome"
	HeaderReplayed       = "Gooseberrytide-Replayed"
	HeaderBodyOmitted    = "Gooseberrytide-Body-Omitted"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetryAfter     = "Retry-After"
)
