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
	// MaxHashes bounds the hashes of one cache event.
	MaxHashes = 32 << 10
)

// Hash names a prompt prefix. It is a hexadecimal string in JSON, since JSON numbers lose digits in many decoders.
type Hash uint64

// MarshalText encodes the hash.
func (h Hash) MarshalText() ([]byte, error) {
	return strconv.AppendUint(nil, uint64(h), 16), nil
}

// UnmarshalText decodes the hash.
func (h *Hash) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	*h = Hash(v)
	return err
}

// Report is one line of GET /v1/events. Exactly one field is set.
type Report struct {
	Load  *Load  `json:"load,omitempty"`
	Cache *Cache `json:"cache,omitempty"`
}

// Load is a load report. It lags behind the engine's state and may be wrong.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Cache is a change of the prefix cache. The first cache event of a stream has Cleared set and adds the whole cache.
type Cache struct {
	// Seq numbers the engine's cache events. A jump of more than 1 shows that events were lost.
	Seq     uint64 `json:"seq"`
	Added   []Hash `json:"added,omitempty"`
	Removed []Hash `json:"removed,omitempty"`
	// Cleared says that the cache was empty before Added.
	Cleared bool `json:"cleared,omitempty"`
}

// ReportDecoder reads the event stream. It is used by one goroutine.
type ReportDecoder struct{ lines *lineReader }

// NewReportDecoder reads from r.
func NewReportDecoder(r io.Reader) *ReportDecoder {
	return &ReportDecoder{lines: newLineReader(r, MaxReportBytes, 0)}
}

// Next returns the next report. Errors: *DecodeError; a stream that ends is of kind ErrTruncated.
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
	if r.Cache != nil && len(r.Cache.Added)+len(r.Cache.Removed) > MaxHashes {
		return Report{}, &DecodeError{Kind: ErrTooLarge, Detail: "too many hashes"}
	}
	return r, nil
}

// WriteReport writes one line of the event stream.
func WriteReport(w io.Writer, r Report) error {
	return json.NewEncoder(w).Encode(r)
}
