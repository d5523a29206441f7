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

// latency is the time of a message. It differs between links, so that no two messages of an instant arrive together.
func latency(from, to ident.RouterID) time.Duration {
	link := len(routerIDs)*slices.Index(routerIDs, from) + slices.Index(routerIDs, to)
	return time.Millisecond + time.Duration(link)*10*time.Microsecond
}

// Send implements dispatch.Sender. Messages of a link arrive in order and are recorded on arrival.
func (n *node) Send(to ident.RouterID, m message.Message) {
	if !n.world.alive(n) {
		return
	}
	stamp := n.events.Stamp()
	time.AfterFunc(n.world.delay(n.id, to), func() { n.world.deliver(n.id, to, stamp, m) })
}

// delay returns the time until the next message of a link arrives.
func (w *world) delay(from, to ident.RouterID) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	link := string(from) + string(to)
	due := time.Now().Add(latency(from, to))
	if last := w.links[link]; !due.After(last) {
		due = last.Add(1)
	}
	w.links[link] = due
	return time.Until(due)
}

func (w *world) deliver(from, to ident.RouterID, stamp timeline.Stamp, m message.Message) {
	n := w.node(to)
	if n == nil {
		w.log("", "%s -> %s  lost: %s", from, to, messageText(m))
		return
	}
	w.log("", "%s -> %s  %s", from, to, messageText(m))
	n.events.Observe(stamp)
	n.router.Handle(from, m)
}

// messageText describes a message by its type and main fields.
func messageText(m message.Message) string {
	switch m := m.(type) {
	case *message.Enqueue:
		return fmt.Sprintf("enqueue %s shard=%s team=%s hint=%d deadline=%dms waited=%dms lag=%d exclude=%v",
			refText(m.Ref), m.Shard, m.Team, m.Hint, m.DeadlineMS, m.WaitedMS, m.Lag, m.Exclude)
	case *message.Running:
		return fmt.Sprintf("running %s shard=%s team=%s backend=%s cost=%d", refText(m.Ref), m.Shard, m.Team, m.Backend, m.Cost)
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
		return fmt.Sprintf("settle %s shard=%s result=%s cost=%d run=%dms", refText(m.Ref), m.Shard, m.Result, m.Cost, m.RunMS)
	case *message.Takeover:
		return fmt.Sprintf("takeover shard=%s", m.Shard)
	}
	return fmt.Sprintf("%T %+v", m, m)
}

func refText(ref ident.AttemptRef) string { return fmt.Sprintf("%s/%d", ref.Request, ref.Attempt) }

// eventText describes an event by the fields that it has.
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

func keyHash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
