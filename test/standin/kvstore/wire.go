package kvstore

import (
	"encoding/json"
	"net/http"
)

// The types below are the JSON messages of the gateway: bytes are encoded in base64, 64-bit numbers as strings, and
// zero values are omitted.

type header struct {
	ClusterID string `json:"cluster_id"`
	Revision  int64  `json:"revision,string"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Version        int64  `json:"version,string"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,omitempty,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,omitempty,string"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,omitempty,string"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,omitempty,string"`
	Value       []byte `json:"value,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty,string"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type requestOp struct {
	Range  *rangeRequest  `json:"request_range,omitempty"`
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

type putResponse struct {
	Header header `json:"header"`
}

type deleteResponse struct {
	Header  header `json:"header"`
	Deleted int64  `json:"deleted,omitempty,string"`
}

type responseOp struct {
	Range  *rangeResponse  `json:"response_range,omitempty"`
	Put    *putResponse    `json:"response_put,omitempty"`
	Delete *deleteResponse `json:"response_delete_range,omitempty"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []responseOp `json:"responses,omitempty"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,omitempty,string"`
	TTL int64 `json:"TTL,omitempty,string"`
}

type leaseResponse struct {
	Header header `json:"header"`
	ID     int64  `json:"ID,omitempty,string"`
	TTL    int64  `json:"TTL,omitempty,string"`
}

type watchRequest struct {
	Create *watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,omitempty,string"`
}

type event struct {
	// Type is empty for a put and DELETE for a deletion.
	Type string   `json:"type,omitempty"`
	Kv   keyValue `json:"kv"`
}

type watchResponse struct {
	Header          header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,omitempty,string"`
	Events          []event `json:"events,omitempty"`
}

// streamMessage wraps one message of a streaming call.
type streamMessage[T any] struct {
	Result T `json:"result"`
}

// gRPC status codes that the gateway returns in errors.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeUnavailable       = 14
)

var httpStatus = map[int]int{
	codeInvalidArgument:   http.StatusBadRequest,
	codeNotFound:          http.StatusNotFound,
	codeResourceExhausted: http.StatusTooManyRequests,
	codeUnavailable:       http.StatusServiceUnavailable,
}

type gatewayError struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(httpStatus[code])
	_ = json.NewEncoder(w).Encode(gatewayError{Error: message, Code: code, Message: message})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
