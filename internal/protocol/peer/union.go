package peer

import "gooseberrytide.example/gooseberrytide/internal/coordination/message"

// NewEnvelope returns an envelope with a dispatch message. It is empty if the type of the message is not supported.
func NewEnvelope(m message.Message) Envelope {
	switch m := m.(type) {
	case *message.Enqueue:
		return Envelope{Enqueue: m}
	case *message.Running:
		return Envelope{Running: m}
	case *message.Cancel:
		return Envelope{Cancel: m}
	case *message.Grant:
		return Envelope{Grant: m}
	case *message.Reject:
		return Envelope{Reject: m}
	case *message.Redirect:
		return Envelope{Redirect: m}
	case *message.Progress:
		return Envelope{Progress: m}
	case *message.Settle:
		return Envelope{Settle: m}
	case *message.ServiceDelta:
		return Envelope{ServiceDelta: m}
	case *message.FreeSlots:
		return Envelope{FreeSlots: m}
	case *message.Takeover:
		return Envelope{Takeover: m}
	default:
		return Envelope{}
	}
}

// Message returns the dispatch message in the envelope, or nil if it has none.
func (e Envelope) Message() message.Message {
	switch {
	case e.Enqueue != nil:
		return e.Enqueue
	case e.Running != nil:
		return e.Running
	case e.Cancel != nil:
		return e.Cancel
	case e.Grant != nil:
		return e.Grant
	case e.Reject != nil:
		return e.Reject
	case e.Redirect != nil:
		return e.Redirect
	case e.Progress != nil:
		return e.Progress
	case e.Settle != nil:
		return e.Settle
	case e.ServiceDelta != nil:
		return e.ServiceDelta
	case e.FreeSlots != nil:
		return e.FreeSlots
	case e.Takeover != nil:
		return e.Takeover
	default:
		return nil
	}
}
