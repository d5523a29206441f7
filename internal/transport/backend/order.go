package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/order"
	"gooseberrytide.example/gooseberrytide/internal/protocol/engine"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

var _ order.Engines = (*Client)(nil)

// Order implements order.Engines.
func (c *Client) Order(ctx context.Context, server *object.BackendServer, cmd order.Command) error {
	body, err := json.Marshal(engine.Order{
		Kind:    engine.OrderKind(cmd.Kind),
		Model:   cmd.Model,
		Version: cmd.Version,
		Adapter: cmd.Adapter,
		Role:    cmd.Role,
		Fence:   cmd.Fence,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.ControlTimeout)
	defer cancel()
	req, err := newRequest(ctx, http.MethodPost, server, engine.PathOrders, body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", engine.ContentTypeJSON)
	resp, _, err := c.roundTrip(c.unpooled, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return order.ErrStale
	}
	return errors.Wrapf(errStatus, "%d", resp.StatusCode)
}

// State implements order.Engines.
func (c *Client) State(ctx context.Context, server *object.BackendServer) (order.State, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ControlTimeout)
	defer cancel()
	req, err := newRequest(ctx, http.MethodGet, server, engine.PathState, nil)
	if err != nil {
		return order.State{}, err
	}
	resp, _, err := c.roundTrip(c.pooled, req)
	if err != nil {
		return order.State{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return order.State{}, errors.Wrapf(errStatus, "%d", resp.StatusCode)
	}
	wire, err := engine.DecodeState(resp.Body)
	if err != nil {
		return order.State{}, err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
	return targetState(wire), nil
}

func targetState(wire engine.State) order.State {
	s := order.State{Target: order.Target{Model: wire.Model, Version: wire.Version}}
	if l := wire.Loading; l != nil && l.Kind == engine.OrderLoadModel {
		s.Loading = &order.Target{Model: l.Model, Version: l.Version}
	}
	return s
}
