package gateway

import (
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
)

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// partsField is the log field with the IDs of a prompt's shared parts, in hexadecimal and in their order.
func partsField(parts []relay.PromptPart) zap.Field {
	shared := relay.SharedParts(parts)
	ids := make([]string, 0, maxLoggedParts)
	for _, part := range shared[:min(len(shared), maxLoggedParts)] {
		ids = append(ids, strconv.FormatUint(part.ID, 16))
	}
	return zap.String("parts", strings.Join(ids, ","))
}

// fingerprintField is the log field with the fingerprint of the request. Equal requests have the same one.
func (x *exchange) fingerprintField() zap.Field {
	if x.poison == nil {
		return zap.Skip()
	}
	return zap.Stringer("fingerprint", x.poison.Fingerprint())
}

// log logs an outcome or a decision with the fields of the request and of its current attempt.
func (x *exchange) log(outcome string, fields ...zap.Field) { x.logAttempt(x.current, outcome, fields) }

// log logs an outcome or a decision with the fields of the request and of the attempt.
func (a *attempt) log(outcome string, fields ...zap.Field) { a.x.logAttempt(a, outcome, fields) }

// UnframedLogger is the name, below that of the gateway's logger, of the logger of responses without a length. Its lines
// should not be sampled.
const UnframedLogger = "unframed"

// logUnframed logs, for a response without a length, what became of it, its size and how its end is known.
func (a *attempt) logUnframed(result sendResult) {
	if !a.resp.EndsWithConnection() {
		return
	}
	a.x.g.unframed.Info("response without a length", zap.String("request", a.x.metadata.ID), zap.String("route", a.x.route.Name),
		zap.String("server", a.decision.Server.ID), zap.Int("status", a.metadata.Status),
		zap.Int64("bytes", a.resp.BodyBytes()), zap.Stringer("connection_end", a.resp.ConnectionEnd()),
		zap.Stringer("result", result), logfield.Error(a.err))
}

// logAttempt logs an outcome or a decision with the fields of the request and of an attempt, which may be nil.
func (x *exchange) logAttempt(a *attempt, outcome string, fields []zap.Field) {
	entry := x.g.opts.Log.Check(zap.InfoLevel, outcome)
	if entry == nil {
		return
	}
	if a == nil {
		a = &attempt{}
	}
	route, version := "", int64(0)
	if x.route != nil {
		route = x.route.Name
	}
	if x.table != nil {
		version = x.table.Version
	}
	server := ""
	if a.decision.Server != nil {
		server = a.decision.Server.ID
	}
	sent, _ := x.sends.total()
	age, _ := x.g.opts.Proof.Age()
	if denied := a.decision.PermitsDenied; denied > 0 {
		fields = append(fields, zap.Int("permits_denied", denied))
	}
	entry.Write(append([]zap.Field{
		zap.String("request", x.metadata.ID),
		zap.String("route", route),
		zap.String("team", x.team),
		zap.String("server", server),
		zap.Int("sends", sent),
		zap.Int64("config", version),
		zap.Duration("config_age", age),
		zap.Duration("waited", a.admissionWait),
		zap.Duration("first", time.Duration(x.timeToFirst.Load())),
		zap.Duration("took", time.Since(x.arrival)),
		zap.Int("tokens", x.metadata.PromptTokens),
		zap.Int("cached", a.decision.CachedTokens),
		zap.Int("running", a.decision.Load.Running),
		zap.Int("pending", a.decision.Load.PendingTokens),
		zap.Duration("predicted", a.decision.FirstEvent),
	}, fields...)...)
}
