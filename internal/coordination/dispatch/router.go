package dispatch

import (
	"context"
	"sync"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// RouterOptions configures a Router.
type RouterOptions struct {
	Self        ident.RouterID
	Incarnation ident.Incarnation
	Domain      ident.DomainID
	// Remote sends messages to other routers.
	Remote Sender
	Loads  LoadSource
	Events *timeline.Ring
	// Serving reports whether the router accepts new requests.
	Serving func() bool
}

// Router combines the ingress and the dispatcher of one process. Messages between the two are function calls.
type Router struct {
	self       ident.RouterID
	remote     Sender
	ingress    *Ingress
	dispatcher *Dispatcher
}

// NewRouter returns a router without routes.
func NewRouter(opts RouterOptions) *Router {
	r := &Router{self: opts.Self, remote: opts.Remote}
	r.ingress = NewIngress(IngressOptions{
		Self:        opts.Self,
		Incarnation: opts.Incarnation,
		Domain:      opts.Domain,
		Sender:      r,
		Events:      opts.Events,
		Serving:     opts.Serving,
	})
	r.dispatcher = NewDispatcher(DispatcherOptions{
		Self:        opts.Self,
		Incarnation: opts.Incarnation,
		Sender:      r,
		Loads:       opts.Loads,
		Events:      opts.Events,
	})
	return r
}

// Ingress returns the ingress side.
func (r *Router) Ingress() *Ingress { return r.ingress }

// Dispatcher returns the dispatcher side.
func (r *Router) Dispatcher() *Dispatcher { return r.dispatcher }

// Update applies new routes. It updates the dispatcher before the ingress, so that the dispatcher owns its shards when
// the ingress enqueues requests. The dispatcher's grants reach the ingress immediately, so the ingress gets the backend
// servers before that.
func (r *Router) Update(routes *Routes) {
	r.ingress.setServers(routes)
	r.dispatcher.Update(routes)
	r.ingress.Update(routes)
}

// Run runs the timers of the ingress and the dispatcher until the context ends.
func (r *Router) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { r.ingress.Run(ctx) })
	group.Go(func() { r.dispatcher.Run(ctx) })
	group.Wait()
}

// Send implements Sender. It handles messages to this router directly and sends all others to Remote.
func (r *Router) Send(to ident.RouterID, m message.Message) {
	if to == r.self {
		r.Handle(to, m)
		return
	}
	r.remote.Send(to, m)
}

// Handle passes a message from a router to the ingress or the dispatcher. The caller must have authenticated the
// sender.
func (r *Router) Handle(from ident.RouterID, m message.Message) {
	switch m := m.(type) {
	case *message.Grant:
		r.ingress.HandleGrant(from, m)
	case *message.Reject:
		r.ingress.HandleReject(from, m)
	case *message.Redirect:
		r.ingress.HandleRedirect(from, m)
	case *message.Takeover:
		r.ingress.HandleTakeover(from, m)
	default:
		r.dispatcher.Handle(from, m)
	}
}
