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
	// Serving reports whether new requests may be taken.
	Serving func() bool
}

// Router joins the ingress and the dispatcher of one process. Messages between the two are function calls.
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

// Update puts new routes in force. The dispatcher comes first, so that it owns its shards when the ingress enqueues. Its
// grants reach the ingress at once, which has to know the backend servers by then.
func (r *Router) Update(routes *Routes) {
	r.ingress.setServers(routes)
	r.dispatcher.Update(routes)
	r.ingress.Update(routes)
}

// Run drives timers until the context ends.
func (r *Router) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { r.ingress.Run(ctx) })
	group.Go(func() { r.dispatcher.Run(ctx) })
	group.Wait()
}

// Send implements Sender.
func (r *Router) Send(to ident.RouterID, m message.Message) {
	if to == r.self {
		r.Handle(to, m)
		return
	}
	r.remote.Send(to, m)
}

// Handle takes a message from a router. The caller has authenticated the sender.
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
