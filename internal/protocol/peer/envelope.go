package peer

import (
	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// Envelope holds one message. Exactly one field is set.
type Envelope struct {
	Enqueue      *message.Enqueue
	Running      *message.Running
	Cancel       *message.Cancel
	Grant        *message.Grant
	Reject       *message.Reject
	Redirect     *message.Redirect
	Progress     *message.Progress
	Settle       *message.Settle
	ServiceDelta *message.ServiceDelta
	FreeSlots    *message.FreeSlots
	Takeover     *message.Takeover
	Membership   *membership.Packet
}

// Class is the class of a message in traffic statistics. For messages in frames, it equals the key in wireEnvelope.
type Class uint8

// The classes of messages. ClassLink counts handshakes and frame headers, ClassRPC counts JSON-RPC.
const (
	ClassLink Class = iota
	ClassEnqueue
	ClassRunning
	ClassCancel
	ClassGrant
	ClassReject
	ClassRedirect
	ClassProgress
	ClassSettle
	ClassServiceDelta
	ClassFreeSlots
	ClassMembership
	ClassTakeover
	ClassRPC
	// ClassCount is the number of classes.
	ClassCount
)

// classNames are the names of the classes in statistics and in FormatError.Place.
var classNames = [ClassCount]string{
	"link", "enqueue", "running", "cancel", "grant", "reject", "redirect", "progress", "settle", "service-delta",
	"free-slots", "membership", "takeover", "rpc",
}

// String returns the name of the class, or "unknown".
func (c Class) String() string {
	if c < ClassCount {
		return classNames[c]
	}
	return "unknown"
}

// Class returns the class of the message, or ClassLink if the envelope is empty.
func (e Envelope) Class() Class {
	switch {
	case e.Enqueue != nil:
		return ClassEnqueue
	case e.Running != nil:
		return ClassRunning
	case e.Cancel != nil:
		return ClassCancel
	case e.Grant != nil:
		return ClassGrant
	case e.Reject != nil:
		return ClassReject
	case e.Redirect != nil:
		return ClassRedirect
	case e.Progress != nil:
		return ClassProgress
	case e.Settle != nil:
		return ClassSettle
	case e.ServiceDelta != nil:
		return ClassServiceDelta
	case e.FreeSlots != nil:
		return ClassFreeSlots
	case e.Takeover != nil:
		return ClassTakeover
	case e.Membership != nil:
		return ClassMembership
	}
	return ClassLink
}

// count returns the number of messages in the envelope.
func (e Envelope) count() int {
	n := 0
	for _, set := range []bool{e.Enqueue != nil, e.Running != nil, e.Cancel != nil, e.Grant != nil, e.Reject != nil,
		e.Redirect != nil, e.Progress != nil, e.Settle != nil, e.ServiceDelta != nil, e.FreeSlots != nil,
		e.Takeover != nil, e.Membership != nil} {
		if set {
			n++
		}
	}
	return n
}

// Endpoint identifies the process at one end of a connection.
type Endpoint struct {
	Router      ident.RouterID
	Incarnation ident.Incarnation
}

// Frame is a decoded batch of messages. Router and Incarnation identify the sender.
type Frame struct {
	Router      ident.RouterID
	Incarnation ident.Incarnation
	// Stamp is the sender's clock, or 0 if the sender does not send its clock.
	Stamp     timeline.Stamp
	Envelopes []Envelope
	// Sizes are the encoded sizes of the envelopes, in bytes.
	Sizes []int
}
