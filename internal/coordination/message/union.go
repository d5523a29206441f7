package message

// Message is any message of this package. Messages are passed as pointers.
type Message interface {
	isMessage()
}

func (*Enqueue) isMessage()      {}
func (*Running) isMessage()      {}
func (*Cancel) isMessage()       {}
func (*Grant) isMessage()        {}
func (*Reject) isMessage()       {}
func (*Redirect) isMessage()     {}
func (*Progress) isMessage()     {}
func (*Settle) isMessage()       {}
func (*ServiceDelta) isMessage() {}
func (*FreeSlots) isMessage()    {}
func (*Takeover) isMessage()     {}
