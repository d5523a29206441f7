package backend

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/protocol/engine"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

var (
	errIdle        = errors.New("no byte within the idle timeout")
	errTooLarge    = errors.New("body above the limit")
	errUndelimited = errors.New("body without length or chunks cannot be known to be whole")
	errRefused     = errors.New("refused before running")
	errStatus      = errors.New("unexpected status")
)

func sendError(server *object.BackendServer, kind execute.SendErrorKind, status int, cause error) *execute.SendError {
	return &execute.SendError{Kind: kind, Backend: server.Name, Status: status, Cause: cause}
}

// noAnswer classifies a failed round trip.
func noAnswer(ctx context.Context, server *object.BackendServer, s *sending, err error) *execute.SendError {
	if s.nothingWritten() {
		return sendError(server, execute.SendNotSent, 0, cause(ctx, err))
	}
	if s.invalidAnswer() && !isConnectionError(ctx, err) {
		return sendError(server, execute.SendInvalid, 0, err)
	}
	return sendError(server, execute.SendBroken, 0, cause(ctx, err))
}

// refused reports an explicit statement that the request did not run.
func refused(resp *http.Response) bool {
	if resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	return resp.Header.Get(engine.HeaderNotRun) == engine.NotRunTrue
}

// bodyError classifies a failure while the body is read.
func bodyError(ctx context.Context, server *object.BackendServer, status int, err error) *execute.SendError {
	if isConnectionError(ctx, err) {
		return sendError(server, execute.SendBroken, status, cause(ctx, err))
	}
	return sendError(server, execute.SendInvalid, status, err)
}

// streamError classifies a failure of an engine's stream.
func streamError(ctx context.Context, server *object.BackendServer, err error) *execute.SendError {
	var d *engine.DecodeError
	if errors.As(err, &d) && d.Kind != engine.ErrTruncated && d.Kind != engine.ErrEngine {
		return sendError(server, execute.SendInvalid, 0, err)
	}
	return sendError(server, execute.SendBroken, 0, cause(ctx, err))
}

// isConnectionError tells a lost connection or an ended context from an answer that breaks the protocol.
func isConnectionError(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return true
	}
	var n net.Error
	return errors.As(err, &n)
}

// cause prefers the reason why the context ended.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return reason
	}
	return err
}
