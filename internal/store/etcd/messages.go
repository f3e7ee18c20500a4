package etcd

import (
	"encoding/json"
	"strconv"
)

// The messages below are the JSON form of the etcd v3 API (etcd
// api/etcdserverpb/rpc.proto through its HTTP gateway): bytes are base64,
// 64-bit integers are strings.

// Int64 is a 64-bit integer in the JSON form of protobuf. Decoding accepts a
// number too.
type Int64 int64

// MarshalJSON implements json.Marshaler.
func (i Int64) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(strconv.FormatInt(int64(i), 10))), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (i *Int64) UnmarshalJSON(b []byte) error {
	var n json.Number
	if err := json.Unmarshal(b, &n); err != nil {
		return err
	}
	v, err := n.Int64()
	*i = Int64(v)
	return err
}

// KeyValue is mvccpb.KeyValue.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision Int64  `json:"mod_revision,omitempty"`
	Lease       Int64  `json:"lease,omitempty"`
}

// RangeRequest is RangeRequest of POST /v3/kv/range.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse is RangeResponse.
type RangeResponse struct {
	KVs []KeyValue `json:"kvs,omitempty"`
}

// Compare is Compare with target MOD and result EQUAL.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision Int64  `json:"mod_revision"`
}

// PutRequest is PutRequest.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease Int64  `json:"lease,omitempty"`
}

// DeleteRequest is DeleteRangeRequest for one key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is RequestOp with one of its members set.
type RequestOp struct {
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp is ResponseOp with the range member.
type ResponseOp struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnRequest is TxnRequest of POST /v3/kv/txn.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
	Failure []RequestOp `json:"failure"`
}

// TxnResponse is TxnResponse.
type TxnResponse struct {
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// LeaseRequest is used for POST /v3/lease/grant (TTL), /v3/lease/keepalive and
// /v3/lease/revoke (ID).
type LeaseRequest struct {
	// TTL is in seconds.
	TTL Int64 `json:"TTL,omitempty"`
	ID  Int64 `json:"ID,omitempty"`
}

// LeaseResponse is LeaseGrantResponse and LeaseKeepAliveResponse. A keep-alive
// of an expired lease answers with TTL 0.
type LeaseResponse struct {
	TTL Int64 `json:"TTL,omitempty"`
	ID  Int64 `json:"ID,omitempty"`
}

// KeepAliveMessage wraps one message of the keep-alive stream.
type KeepAliveMessage struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest is WatchRequest of POST /v3/watch with create_request.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate is WatchCreateRequest for one key.
type WatchCreate struct {
	Key           []byte `json:"key"`
	StartRevision Int64  `json:"start_revision,omitempty"`
}

// Event is mvccpb.Event.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResponse is WatchResponse.
type WatchResponse struct {
	Created  bool    `json:"created,omitempty"`
	Canceled bool    `json:"canceled,omitempty"`
	Events   []Event `json:"events,omitempty"`
}

// WatchMessage wraps one message of the watch stream.
type WatchMessage struct {
	Result WatchResponse `json:"result"`
}

// Paths of the HTTP gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)
