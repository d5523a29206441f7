// Package datagrams encodes the messages that routers send to each other in datagrams. The first byte is the kind of
// the message; the rest is the message in CBOR.
package datagrams

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
)

// kind is the first byte of a datagram. It determines the type of the message.
type kind byte

const (
	kindReport kind = iota + 1
	kindRequest
	kindAnswer
	kindLoads
	kindCapacityNotice
	kindPresence
	kindDenial
	kindDrainNotice
	kindEvidence
	kindTrialRequest
	kindTrialAnswer
	kindTrialEnd
	kindPermitRequest
	kindPermitAnswer
	kindPermitReturn
	kindLimitNotice
	kindWarmupNotice
	kindYieldingPermitRequest
)

// Encode returns the datagram for a *gossip.Report, reservation.Request, reservation.Answer, reservation.Loads,
// reservation.CapacityNotice, reservation.Denial, reservation.DrainNotice, gossip.Presence, poison.Evidence,
// poison.TrialRequest, poison.TrialAnswer, poison.TrialEnd, reservation.PermitRequest, reservation.PermitAnswer,
// reservation.PermitReturn, reservation.LimitNotice, reservation.WarmupNotice or reservation.YieldingPermitRequest. Other
// types are an error.
func Encode(message any) ([]byte, error) {
	k, err := kindOf(message)
	if err != nil {
		return nil, err
	}
	var body []byte
	if report, ok := message.(*gossip.Report); ok {
		body, err = report.Encode()
	} else {
		body, err = cbor.Marshal(message)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "datagrams: encode %T", message)
	}
	return append([]byte{byte(k)}, body...), nil
}

func kindOf(message any) (kind, error) {
	switch message.(type) {
	case *gossip.Report:
		return kindReport, nil
	case reservation.Request:
		return kindRequest, nil
	case reservation.Answer:
		return kindAnswer, nil
	case reservation.Loads:
		return kindLoads, nil
	case reservation.CapacityNotice:
		return kindCapacityNotice, nil
	case gossip.Presence:
		return kindPresence, nil
	case reservation.Denial:
		return kindDenial, nil
	case reservation.DrainNotice:
		return kindDrainNotice, nil
	case poison.Evidence:
		return kindEvidence, nil
	case poison.TrialRequest:
		return kindTrialRequest, nil
	case poison.TrialAnswer:
		return kindTrialAnswer, nil
	case poison.TrialEnd:
		return kindTrialEnd, nil
	case reservation.PermitRequest:
		return kindPermitRequest, nil
	case reservation.PermitAnswer:
		return kindPermitAnswer, nil
	case reservation.PermitReturn:
		return kindPermitReturn, nil
	case reservation.LimitNotice:
		return kindLimitNotice, nil
	case reservation.WarmupNotice:
		return kindWarmupNotice, nil
	case reservation.YieldingPermitRequest:
		return kindYieldingPermitRequest, nil
	default:
		return 0, errors.Errorf("datagrams: unsupported message type %T", message)
	}
}

// Decode returns the message in a datagram. It has one of the types that Encode accepts.
func Decode(data []byte) (any, error) {
	if len(data) == 0 {
		return nil, errors.New("datagrams: empty datagram")
	}
	body := data[1:]
	switch kind(data[0]) {
	case kindReport:
		return gossip.Decode(body)
	case kindRequest:
		return decode[reservation.Request](body)
	case kindAnswer:
		return decode[reservation.Answer](body)
	case kindLoads:
		return decode[reservation.Loads](body)
	case kindCapacityNotice:
		return decode[reservation.CapacityNotice](body)
	case kindPresence:
		return decode[gossip.Presence](body)
	case kindDenial:
		return decode[reservation.Denial](body)
	case kindDrainNotice:
		return decode[reservation.DrainNotice](body)
	case kindEvidence:
		return decode[poison.Evidence](body)
	case kindTrialRequest:
		return decode[poison.TrialRequest](body)
	case kindTrialAnswer:
		return decode[poison.TrialAnswer](body)
	case kindTrialEnd:
		return decode[poison.TrialEnd](body)
	case kindPermitRequest:
		return decode[reservation.PermitRequest](body)
	case kindPermitAnswer:
		return decode[reservation.PermitAnswer](body)
	case kindPermitReturn:
		return decode[reservation.PermitReturn](body)
	case kindLimitNotice:
		return decode[reservation.LimitNotice](body)
	case kindWarmupNotice:
		return decode[reservation.WarmupNotice](body)
	case kindYieldingPermitRequest:
		return decode[reservation.YieldingPermitRequest](body)
	default:
		return nil, errors.Errorf("datagrams: unknown message kind %d", data[0])
	}
}

func decode[T any](body []byte) (any, error) {
	var m T
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrapf(err, "datagrams: decode %T", m)
	}
	return m, nil
}
