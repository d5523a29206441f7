package message

// String names the reason.
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

// String names the result.
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
