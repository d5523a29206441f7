package backend

import (
	"context"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/scheduler"
	"gooseberrytide.example/gooseberrytide/internal/protocol/engine"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

// errResync ends an event stream so that the next one delivers a new snapshot of the whole cache.
var errResync = errors.New("cache events were lost")

// subscription is the event stream of one engine.
type subscription struct {
	client  *Client
	server  *object.BackendServer
	onLoad  func(scheduler.LoadReport)
	onCache func(scheduler.CacheEvent)
	// received reports that the latest connection delivered a report.
	received bool
	// synced reports that the connection delivered a cache event. lastSeq is the sequence number of the latest one.
	synced  bool
	lastSeq uint64
	// lost reports that cache events were lost on this connection.
	lost bool
	// lastSync is the time of the latest snapshot of the whole cache.
	lastSync time.Time
}

// Subscribe reads an engine's load reports and cache events and reconnects until ctx ends. It returns the context's
// error. It also reconnects after lost cache events, because the first cache event of a stream holds the whole cache.
// onLoad and onCache are called from one goroutine.
func (c *Client) Subscribe(
	ctx context.Context, server *object.BackendServer,
	onLoad func(scheduler.LoadReport), onCache func(scheduler.CacheEvent),
) error {
	s := &subscription{client: c, server: server, onLoad: onLoad, onCache: onCache}
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = c.opts.ReconnectMin
	retryBackoff.MaxInterval = c.opts.ReconnectMax
	for ctx.Err() == nil {
		s.received = false
		err := s.readStream(ctx)
		if s.received {
			retryBackoff.Reset()
		}
		if ctx.Err() != nil || errors.Is(err, errResync) {
			continue
		}
		c.opts.Logger.Debug("event stream lost, reconnecting", zap.String("backend", server.Name), zap.Error(err))
		periodic.Sleep(ctx, retryBackoff.NextBackOff())
	}
	return ctx.Err()
}

// readStream opens one event stream and delivers its reports until it ends.
func (s *subscription) readStream(parent context.Context) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	idle := newIdleTimer(s.client.opts.IdleTimeout, func() { cancel(errIdle) })
	defer idle.stop()
	req, err := newRequest(ctx, http.MethodGet, s.server, engine.PathEvents, nil)
	if err != nil {
		return err
	}
	idle.start()
	resp, _, err := s.client.roundTrip(s.client.unpooled, req)
	if err != nil {
		return contextCause(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(errStatus, "%d", resp.StatusCode)
	}
	s.synced, s.lost = false, false
	decoder := engine.NewReportDecoder(&idleReader{src: resp.Body, idle: idle})
	for {
		report, err := decoder.Next()
		if err != nil {
			return contextCause(ctx, err)
		}
		s.received = true
		s.deliver(report)
		if s.lost && time.Since(s.lastSync) >= s.client.opts.ResyncInterval {
			return errResync
		}
	}
}

func (s *subscription) deliver(r engine.Report) {
	id := ident.BackendID(s.server.Name)
	if r.Load != nil {
		s.onLoad(scheduler.LoadReport{Backend: id, Slots: r.Load.Slots, Running: r.Load.Running, Waiting: r.Load.Waiting})
		return
	}
	if s.synced && r.Cache.Seq <= s.lastSeq {
		return
	}
	if s.synced && r.Cache.Seq != s.lastSeq+1 {
		s.lost = true
	}
	s.synced, s.lastSeq = true, r.Cache.Seq
	if r.Cache.Cleared {
		s.lastSync = time.Now()
	}
	s.onCache(scheduler.CacheEvent{
		Backend: id,
		Added:   hashValues(r.Cache.Added),
		Removed: hashValues(r.Cache.Removed),
		Cleared: r.Cache.Cleared,
	})
}

func hashValues(in []engine.PrefixHash) []uint64 {
	out := make([]uint64, len(in))
	for i, h := range in {
		out[i] = uint64(h)
	}
	return out
}
