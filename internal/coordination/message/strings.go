package message

// String returns the reason's name, or "unknown-reason".
func (r RejectReason) String() string {
	switch r {
	case RejectQueueFull:
		return "queue-full"
	case RejectDeadline:
		return "deadline"
	case RejectNoBackend:
		return "no-backend-server"
	case RejectNotOwner:
		return "not-owner"
	default:
		return "unknown-reason"
	}
}

// String returns the result's name, or "unknown-result".
func (r SettleResult) String() string {
	switch r {
	case SettleUnused:
		return "unused"
	case SettleOK:
		return "ok"
	case SettleFailed:
		return "failed"
	case SettleRefused:
		return "refused"
	default:
		return "unknown-result"
	}
}
