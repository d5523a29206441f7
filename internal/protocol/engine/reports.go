package engine

import (
	"encoding/json"
	"io"
	"strconv"
)

// Limits of the event stream.
const (
	// MaxReportBytes bounds one line of the event stream.
	MaxReportBytes = 1 << 20
	// MaxCacheHashes bounds the number of hashes in one cache update, added and removed ones together.
	MaxCacheHashes = 32 << 10
)

// PrefixHash identifies a prompt prefix. In JSON it is a hexadecimal string, because many decoders lose digits of large
// JSON numbers.
type PrefixHash uint64

// MarshalText encodes the hash as hexadecimal digits.
func (h PrefixHash) MarshalText() ([]byte, error) {
	return strconv.AppendUint(nil, uint64(h), 16), nil
}

// UnmarshalText decodes a hash from hexadecimal digits.
func (h *PrefixHash) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	*h = PrefixHash(v)
	return err
}

// Report is one line of GET /v1/events. Exactly one field is set.
type Report struct {
	Load  *Load        `json:"load,omitempty"`
	Cache *CacheUpdate `json:"cache,omitempty"`
}

// Load is a load report. It lags behind the engine's state and may be inaccurate.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// CacheUpdate is a change of the prefix cache. The first one of a stream has Cleared set and adds the content of the
// whole cache.
type CacheUpdate struct {
	// Seq is the sequence number of the update at the engine. A step of more than 1 shows that updates were lost.
	Seq     uint64       `json:"seq"`
	Added   []PrefixHash `json:"added,omitempty"`
	Removed []PrefixHash `json:"removed,omitempty"`
	// Cleared reports that the cache was empty before Added was applied.
	Cleared bool `json:"cleared,omitempty"`
}

// ReportDecoder decodes the event stream. It is not safe for concurrent use.
type ReportDecoder struct{ lines *lineReader }

// NewReportDecoder returns a decoder that reads from r.
func NewReportDecoder(r io.Reader) *ReportDecoder {
	return &ReportDecoder{lines: newLineReader(r, MaxReportBytes, 0)}
}

// Next returns the next report. Errors are of type *DecodeError. At the end of the stream, the error has the kind
// ErrTruncated and wraps io.EOF.
func (d *ReportDecoder) Next() (Report, error) {
	for {
		line, err := d.lines.next()
		if err == io.EOF {
			return Report{}, &DecodeError{Kind: ErrTruncated, Detail: "event stream ended", Cause: io.EOF}
		}
		if err != nil {
			return Report{}, err
		}
		if len(line) > 0 {
			return decodeReport(line)
		}
	}
}

func decodeReport(line []byte) (Report, error) {
	var r Report
	if err := json.Unmarshal(line, &r); err != nil {
		return Report{}, malformed("report: %v", err)
	}
	if (r.Load == nil) == (r.Cache == nil) {
		return Report{}, malformed("report needs either load or cache")
	}
	if r.Cache != nil && len(r.Cache.Added)+len(r.Cache.Removed) > MaxCacheHashes {
		return Report{}, &DecodeError{Kind: ErrTooLarge, Detail: "too many hashes"}
	}
	return r, nil
}

// WriteReport writes one line of the event stream.
func WriteReport(w io.Writer, r Report) error {
	return json.NewEncoder(w).Encode(r)
}
