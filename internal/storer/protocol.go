package storer

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// The messages of the etcd v3 JSON gateway. Byte fields are in base64, as
// encoding/json writes them; 64-bit integers are decimal strings.

// int64Text is a 64-bit integer that is encoded as a string. Numbers are accepted
// too, because gateways differ.
type int64Text int64

func (n int64Text) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatInt(int64(n), 10))
}

func (n *int64Text) UnmarshalJSON(data []byte) error {
	if len(data) >= 2 && data[0] == '"' {
		data = data[1 : len(data)-1]
	}
	v, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil {
		return fmt.Errorf("not a 64-bit integer: %q", data)
	}
	*n = int64Text(v)
	return nil
}

type header struct {
	Revision int64Text `json:"revision"`
}

type keyValue struct {
	Key            []byte    `json:"key"`
	Value          []byte    `json:"value"`
	CreateRevision int64Text `json:"create_revision"`
	ModRevision    int64Text `json:"mod_revision"`
	Version        int64Text `json:"version"`
	Lease          int64Text `json:"lease"`
}

func (kv keyValue) entry() Entry {
	return Entry{
		Key:            string(kv.Key),
		Value:          kv.Value,
		CreateRevision: int64(kv.CreateRevision),
		ModRevision:    int64(kv.ModRevision),
		Version:        int64(kv.Version),
		Lease:          int64(kv.Lease),
	}
}

type rangeRequest struct {
	Key      []byte    `json:"key"`
	RangeEnd []byte    `json:"range_end,omitempty"`
	Limit    int64Text `json:"limit,omitempty"`
	Revision int64Text `json:"revision,omitempty"`
}

type rangeResponse struct {
	Header  header     `json:"header"`
	Entries []keyValue `json:"kvs"`
	More    bool       `json:"more"`
}

type txnRequest struct {
	Compare []txnCompare   `json:"compare,omitempty"`
	Success []txnOperation `json:"success"`
}

type txnCompare struct {
	Key         []byte    `json:"key"`
	Target      string    `json:"target"`
	Result      string    `json:"result"`
	ModRevision int64Text `json:"mod_revision"`
}

type txnOperation struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type putRequest struct {
	Key   []byte    `json:"key"`
	Value []byte    `json:"value"`
	Lease int64Text `json:"lease,omitempty"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

func newTxnRequest(tx Transaction) txnRequest {
	req := txnRequest{Success: []txnOperation{}}
	for _, c := range tx.compares {
		req.Compare = append(req.Compare, txnCompare{
			Key: []byte(c.key), Target: "MOD", Result: "EQUAL", ModRevision: int64Text(c.revision),
		})
	}
	for _, o := range tx.operations {
		req.Success = append(req.Success, newTxnOperation(o))
	}
	return req
}

func newTxnOperation(o operation) txnOperation {
	if o.delete {
		return txnOperation{Delete: &deleteRequest{Key: []byte(o.key)}}
	}
	return txnOperation{Put: &putRequest{Key: []byte(o.key), Value: o.value, Lease: int64Text(o.lease)}}
}

type leaseRequest struct {
	ID  int64Text `json:"ID,omitempty"`
	TTL int64Text `json:"TTL,omitempty"`
}

type leaseResponse struct {
	ID  int64Text `json:"ID"`
	TTL int64Text `json:"TTL"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key            []byte    `json:"key"`
	RangeEnd       []byte    `json:"range_end,omitempty"`
	StartRevision  int64Text `json:"start_revision,omitempty"`
	ProgressNotify bool      `json:"progress_notify,omitempty"`
}

// watchMessage is one JSON value of the response stream.
type watchMessage struct {
	Result watchResponse  `json:"result"`
	Error  *errorResponse `json:"error"`
}

type watchResponse struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created"`
	Canceled        bool         `json:"canceled"`
	CancelReason    string       `json:"cancel_reason"`
	CompactRevision int64Text    `json:"compact_revision"`
	Events          []watchEvent `json:"events"`
}

type watchEvent struct {
	// Type is absent for a put.
	Type  string   `json:"type"`
	Entry keyValue `json:"kv"`
}

func (r watchResponse) batch() Batch {
	b := Batch{Revision: int64(r.Header.Revision)}
	for _, e := range r.Events {
		b.Changes = append(b.Changes, Change{Entry: e.Entry.entry(), Deleted: e.Type == "DELETE"})
	}
	return b
}

// errorResponse covers the two forms of error responses that gateways send.
type errorResponse struct {
	Error    string `json:"error"`
	Code     int    `json:"code"`
	GRPCCode int    `json:"grpc_code"`
	Message  string `json:"message"`
}

func (e errorResponse) code() int { return max(e.Code, e.GRPCCode) }

func (e errorResponse) text() string {
	if e.Message != "" {
		return e.Message
	}
	return e.Error
}
