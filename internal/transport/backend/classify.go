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
	errIdle           = errors.New("no data received within the idle timeout")
	errTooLarge       = errors.New("response body exceeds the size limit")
	errCloseDelimited = errors.New("response body has neither a length nor chunks, so truncation cannot be detected")
	errRefused        = errors.New("the server refused the request without running it")
	errStatus         = errors.New("unexpected HTTP status")
)

func sendError(server *object.BackendServer, kind execute.SendErrorKind, status int, cause error) *execute.SendError {
	return &execute.SendError{Kind: kind, Backend: server.Name, Status: status, Cause: cause}
}

// roundTripError classifies a failed round trip.
func roundTripError(ctx context.Context, server *object.BackendServer, s *sendTracker, err error) *execute.SendError {
	if s.nothingWritten() {
		return sendError(server, execute.SendNotSent, 0, contextCause(ctx, err))
	}
	if s.invalidResponse() && !isConnectionError(ctx, err) {
		return sendError(server, execute.SendInvalid, 0, err)
	}
	return sendError(server, execute.SendBroken, 0, contextCause(ctx, err))
}

// isRefusal reports whether the response explicitly states that the request did not run.
func isRefusal(resp *http.Response) bool {
	if resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	return resp.Header.Get(engine.HeaderNotRun) == engine.NotRunTrue
}

// bodyError classifies an error that occurred while the body was read. net/http has errors of its own for connections that
// end within the last chunk.
func bodyError(
	ctx context.Context, server *object.BackendServer, s *sendTracker, status int, err error,
) *execute.SendError {
	if s.readFailed() || isConnectionError(ctx, err) {
		return sendError(server, execute.SendBroken, status, contextCause(ctx, err))
	}
	return sendError(server, execute.SendInvalid, status, err)
}

// streamError classifies an error of an engine's completion stream.
func streamError(ctx context.Context, server *object.BackendServer, err error) *execute.SendError {
	var decodeErr *engine.DecodeError
	if errors.As(err, &decodeErr) && decodeErr.Kind != engine.ErrTruncated && decodeErr.Kind != engine.ErrEngine {
		return sendError(server, execute.SendInvalid, 0, err)
	}
	return sendError(server, execute.SendBroken, 0, contextCause(ctx, err))
}

// isConnectionError reports whether the connection was lost or the context ended. All other errors come from a response
// that violates the protocol.
func isConnectionError(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return true
	}
	var netErr net.Error
	return errors.As(err, &netErr)
}

// contextCause returns the cause of the context's end if it has ended, and err otherwise.
func contextCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
