package etcdkv

// JSON messages of the gateway. Bytes are base64, 64-bit numbers are strings, and zero values are omitted.

type header struct {
	// ClusterID identifies the cluster's data. A cluster that is restored from a snapshot has another one.
	ClusterID string `json:"cluster_id"`
	Revision  int64  `json:"revision,string"`
}

// headed is the part that the responses of calls have in common.
type headed struct {
	Header header `json:"header"`
}

func (h *headed) clusterID() string { return h.Header.ClusterID }

// callResponse is the response of a call.
type callResponse interface{ clusterID() string }

type keyValue struct {
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
	Value       []byte `json:"value"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,omitempty,string"`
}

type rangeResponse struct {
	headed
	Kvs []keyValue `json:"kvs"`
}

const (
	targetMod   = "MOD"
	targetValue = "VALUE"
	resultEqual = "EQUAL"
)

// compare is a condition of a transaction on either the revision or the value. A nil revision is omitted; revision 0
// means an absent key.
type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision *int64 `json:"mod_revision,omitempty,string"`
	Value       []byte `json:"value,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type requestOp struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
}

type txnResponse struct {
	headed
	Succeeded bool `json:"succeeded"`
}

type watchRequest struct {
	Create watchCreateRequest `json:"create_request"`
}

type watchCreateRequest struct {
	Key           []byte `json:"key"`
	StartRevision int64  `json:"start_revision,string"`
}

// eventDelete is the type of a delete event. A put event has no type.
const eventDelete = "DELETE"

type event struct {
	Type string   `json:"type"`
	Kv   keyValue `json:"kv"`
}

type watchResponse struct {
	Result struct {
		Canceled        bool    `json:"canceled"`
		CompactRevision int64   `json:"compact_revision,string"`
		Events          []event `json:"events"`
	} `json:"result"`
	Error *gatewayError `json:"error"`
}

// gRPC status codes in the errors of the gateway.
const (
	codeInvalidArgument   = 3
	codeResourceExhausted = 8
	codeUnavailable       = 14
)

// messageNoLeader is the error message of a store without a leader. Such a store refuses calls before they take effect.
const messageNoLeader = "etcdserver: no leader"

type gatewayError struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}
