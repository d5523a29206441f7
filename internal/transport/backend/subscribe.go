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

// errResync ends an event stream in order to get the whole cache anew.
var errResync = errors.New("cache events were lost")

// subscription is the event stream of one engine.
type subscription struct {
	client  *Client
	server  *object.BackendServer
	onLoad  func(scheduler.LoadReport)
	onCache func(scheduler.CacheEvent)
	// opened says that the last connection delivered a report.
	opened bool
	// synced says that the connection delivered a cache event, and seq is the number of the last one.
	synced bool
	seq    uint64
	// lost says that cache events of the connection were lost.
	lost bool
	// lastSync is when the whole cache was last received.
	lastSync time.Time
}

// Subscribe reads an engine's load reports and cache events and reconnects until ctx ends; it returns the context's
// error. Lost cache events lead to a reconnection, because the first cache event of a stream holds the whole cache. The
// functions are called from one goroutine.
func (c *Client) Subscribe(ctx context.Context, server *object.BackendServer, onLoad func(scheduler.LoadReport), onCache func(scheduler.CacheEvent)) error {
	s := &subscription{client: c, server: server, onLoad: onLoad, onCache: onCache}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = c.opts.ReconnectMin
	pause.MaxInterval = c.opts.ReconnectMax
	for ctx.Err() == nil {
		s.opened = false
		err := s.read(ctx)
		if s.opened {
			pause.Reset()
		}
		if ctx.Err() != nil || errors.Is(err, errResync) {
			continue
		}
		c.opts.Logger.Debug("event stream: lost", zap.String("backend", server.Name), zap.Error(err))
		periodic.Sleep(ctx, pause.NextBackOff())
	}
	return ctx.Err()
}

// read follows one connection to its end.
func (s *subscription) read(parent context.Context) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	idle := newIdleTimer(s.client.opts.IdleTimeout, func() { cancel(errIdle) })
	defer idle.stop()
	req, err := newRequest(ctx, http.MethodGet, s.server, engine.PathEvents, nil)
	if err != nil {
		return err
	}
	idle.start()
	resp, _, err := s.client.roundTrip(s.client.single, req)
	if err != nil {
		return cause(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(errStatus, "%d", resp.StatusCode)
	}
	s.synced, s.lost = false, false
	decoder := engine.NewReportDecoder(&idleReader{in: resp.Body, idle: idle})
	for {
		report, err := decoder.Next()
		if err != nil {
			return cause(ctx, err)
		}
		s.opened = true
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
	if s.synced && r.Cache.Seq <= s.seq {
		return
	}
	if s.synced && r.Cache.Seq != s.seq+1 {
		s.lost = true
	}
	s.synced, s.seq = true, r.Cache.Seq
	if r.Cache.Cleared {
		s.lastSync = time.Now()
	}
	s.onCache(scheduler.CacheEvent{
		Backend: id,
		Added:   hashes(r.Cache.Added),
		Removed: hashes(r.Cache.Removed),
		Cleared: r.Cache.Cleared,
	})
}

func hashes(in []engine.PrefixHash) []uint64 {
	out := make([]uint64, len(in))
	for i, h := range in {
		out[i] = uint64(h)
	}
	return out
}
