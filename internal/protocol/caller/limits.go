package caller

// Limits of callers' requests and their responses.
const (
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes = 32 << 10
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes = 4 << 20
	// MaxResponseBytes bounds a response's body.
	MaxResponseBytes = 8 << 20
	// MaxIdempotencyKeyBytes bounds an idempotency key.
	MaxIdempotencyKeyBytes = 200
	// MaxPathBytes bounds the escaped path and query of a service call, including ServicePrefix.
	MaxPathBytes = 8 << 10
	// MaxNameBytes bounds the name of a model, version or service.
	MaxNameBytes = 128
	// MaxTokensLimit is the largest value of max_tokens.
	MaxTokensLimit = 32768
	// DefaultMaxTokens applies when a request does not set max_tokens.
	DefaultMaxTokens = 256
	// MaxMessages bounds the number of messages in a chat completion request.
	MaxMessages = 1024
	// MaxPrefixHashes bounds the number of prefix hashes of a prompt.
	MaxPrefixHashes = 8
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
