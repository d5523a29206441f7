package session

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// linkLatency returns the latency of a link. It differs between links, so that no two messages that are sent at the
// same instant arrive at the same instant.
func linkLatency(from, to ident.RouterID) time.Duration {
	link := len(routerIDs)*slices.Index(routerIDs, from) + slices.Index(routerIDs, to)
	return time.Millisecond + time.Duration(link)*10*time.Microsecond
}

// Send implements dispatch.Sender. Messages on a link arrive in order and are recorded on arrival.
func (n *node) Send(to ident.RouterID, m message.Message) {
	if !n.fleet.alive(n) {
		return
	}
	stamp := n.events.Stamp()
	time.AfterFunc(n.fleet.nextDelay(n.id, to), func() { n.fleet.deliver(n.id, to, stamp, m) })
}

// nextDelay returns the time until a message that is sent now arrives: at least linkLatency, and after the link's last
// message.
func (f *fleet) nextDelay(from, to ident.RouterID) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	link := string(from) + string(to)
	due := time.Now().Add(linkLatency(from, to))
	if last := f.lastArrival[link]; !due.After(last) {
		due = last.Add(1)
	}
	f.lastArrival[link] = due
	return time.Until(due)
}

func (f *fleet) deliver(from, to ident.RouterID, stamp timeline.Stamp, m message.Message) {
	n := f.node(to)
	if n == nil {
		f.log("", "%s -> %s  lost: %s", from, to, messageText(m))
		return
	}
	f.log("", "%s -> %s  %s", from, to, messageText(m))
	n.events.Observe(stamp)
	n.router.Handle(from, m)
}

// messageText formats the type and the main fields of a message.
func messageText(m message.Message) string {
	switch m := m.(type) {
	case *message.Enqueue:
		return fmt.Sprintf("enqueue %s shard=%s team=%s hint=%d deadline=%dms waited=%dms lag=%d exclude=%v",
			refText(m.Ref), m.Shard, m.Team, m.Hint, m.DeadlineMS, m.WaitedMS, m.Lag, m.Exclude)
	case *message.Running:
		return fmt.Sprintf("running %s shard=%s team=%s backend=%s cost=%d", refText(m.Ref), m.Shard, m.Team, m.Backend,
			m.Cost)
	case *message.Cancel:
		return fmt.Sprintf("cancel %s shard=%s", refText(m.Ref), m.Shard)
	case *message.Grant:
		return fmt.Sprintf("grant %s shard=%s backend=%s fence=%d lag=%d generation=%d",
			refText(m.Ref), m.Shard, m.Backend, m.Fence, m.Lag, m.Generation)
	case *message.Reject:
		return fmt.Sprintf("reject %s shard=%s reason=%s retry=%dms", refText(m.Ref), m.Shard, m.Reason, m.RetryAfterMS)
	case *message.Progress:
		return fmt.Sprintf("progress %s shard=%s cost=%d", refText(m.Ref), m.Shard, m.Cost)
	case *message.Settle:
		return fmt.Sprintf("settle %s shard=%s result=%s cost=%d run=%dms", refText(m.Ref), m.Shard, m.Result, m.Cost,
			m.RunMS)
	case *message.Takeover:
		return fmt.Sprintf("takeover shard=%s", m.Shard)
	}
	return fmt.Sprintf("%T %+v", m, m)
}

func refText(ref ident.AttemptRef) string { return fmt.Sprintf("%s/%d", ref.Request, ref.Attempt) }

// eventText formats the kind of an event and the fields that are set.
func eventText(e timeline.Event) string {
	parts := []string{string(e.Kind)}
	add := func(name, value string) {
		if value != "" && value != "0" {
			parts = append(parts, name+"="+value)
		}
	}
	add("request", e.Request)
	add("attempt", fmt.Sprint(e.Attempt))
	add("team", string(e.Team))
	add("shard", e.Shard)
	add("backend", string(e.Backend))
	add("peer", string(e.Peer))
	add("generation", fmt.Sprint(e.Generation))
	if e.Detail != "" {
		parts = append(parts, fmt.Sprintf("%q", e.Detail))
	}
	return strings.Join(parts, " ")
}

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
