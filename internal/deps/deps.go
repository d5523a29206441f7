// Package deps keeps the planned modules in go.mod until the packages that import them exist.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/go-kit/kit/endpoint"
	_ "github.com/go-kit/kit/metrics/expvar"
	_ "github.com/go-kit/kit/transport/http"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/pkg/errors"
	_ "github.com/sebdah/goldie/v2"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/urfave/cli/v3"
	_ "go.uber.org/multierr"
	_ "go.uber.org/zap"
	_ "pgregory.net/rapid"
)
