package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Int64 is an integer that travels as a JSON string, as protobuf's JSON
// mapping has it. Numbers are accepted too.
type Int64 int64

// MarshalJSON implements [json.Marshaler].
func (n Int64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// UnmarshalJSON implements [json.Unmarshaler].
func (n *Int64) UnmarshalJSON(b []byte) error {
	v, err := strconv.ParseInt(strings.Trim(string(b), `"`), 10, 64)
	*n = Int64(v)
	return err
}

// enum is an enumeration value by name or number.
type enum string

// UnmarshalJSON implements [json.Unmarshaler].
func (e *enum) UnmarshalJSON(b []byte) error {
	*e = enum(strings.Trim(string(b), `"`))
	return nil
}

// index returns the place of the value among names, 0 for the empty value.
func (e enum) index(names ...string) (int, error) {
	for i, name := range names {
		if string(e) == name || string(e) == strconv.Itoa(i) {
			return i, nil
		}
	}
	if e == "" {
		return 0, nil
	}
	return 0, fmt.Errorf("unknown value %q", string(e))
}

// Header states the revision at which an answer was made.
type Header struct {
	ClusterID Int64 `json:"cluster_id"`
	MemberID  Int64 `json:"member_id"`
	Revision  Int64 `json:"revision"`
	RaftTerm  Int64 `json:"raft_term"`
}

// KeyValue is one version of a key.
type KeyValue struct {
	Key            []byte `json:"key"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// RangeRequest reads a key or a range of keys.
type RangeRequest struct {
	Key       []byte `json:"key"`
	RangeEnd  []byte `json:"range_end"`
	Limit     Int64  `json:"limit"`
	KeysOnly  bool   `json:"keys_only"`
	CountOnly bool   `json:"count_only"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header *Header    `json:"header,omitempty"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  Int64      `json:"count,omitempty"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key    []byte `json:"key"`
	Value  []byte `json:"value"`
	Lease  Int64  `json:"lease"`
	PrevKV bool   `json:"prev_kv"`
}

// PutResponse answers a PutRequest.
type PutResponse struct {
	Header *Header   `json:"header,omitempty"`
	PrevKV *KeyValue `json:"prev_kv,omitempty"`
}

// DeleteRequest deletes a key or a range of keys.
type DeleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	PrevKV   bool   `json:"prev_kv"`
}

// DeleteResponse answers a DeleteRequest.
type DeleteResponse struct {
	Header  *Header    `json:"header,omitempty"`
	Deleted Int64      `json:"deleted,omitempty"`
	PrevKvs []KeyValue `json:"prev_kvs,omitempty"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Result         enum   `json:"result"`
	Target         enum   `json:"target"`
	Key            []byte `json:"key"`
	Version        Int64  `json:"version"`
	CreateRevision Int64  `json:"create_revision"`
	ModRevision    Int64  `json:"mod_revision"`
	Value          []byte `json:"value"`
	Lease          Int64  `json:"lease"`
}

// RequestOp is one operation of a transaction; one field is set.
type RequestOp struct {
	Range  *RangeRequest  `json:"request_range"`
	Put    *PutRequest    `json:"request_put"`
	Delete *DeleteRequest `json:"request_delete_range"`
}

// ResponseOp answers a RequestOp.
type ResponseOp struct {
	Range  *RangeResponse  `json:"response_range,omitempty"`
	Put    *PutResponse    `json:"response_put,omitempty"`
	Delete *DeleteResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest is a transaction.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
	Failure []RequestOp `json:"failure"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    *Header      `json:"header,omitempty"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// LeaseRequest grants, renews or revokes a lease. TTL is in seconds.
type LeaseRequest struct {
	TTL Int64 `json:"TTL"`
	ID  Int64 `json:"ID"`
}

// LeaseResponse answers a LeaseRequest.
type LeaseResponse struct {
	Header *Header `json:"header,omitempty"`
	ID     Int64   `json:"ID,omitempty"`
	TTL    Int64   `json:"TTL,omitempty"`
}

// CompactRequest drops the history before a revision.
type CompactRequest struct {
	Revision Int64 `json:"revision"`
}

// CompactResponse answers a CompactRequest.
type CompactResponse struct {
	Header *Header `json:"header,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create *struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision Int64  `json:"start_revision"`
		PrevKV        bool   `json:"prev_kv"`
	} `json:"create_request"`
}

// Event is one change of a key.
type Event struct {
	// Type is empty for a put.
	Type   string    `json:"type,omitempty"`
	KV     KeyValue  `json:"kv"`
	PrevKV *KeyValue `json:"prev_kv,omitempty"`
}

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Header          *Header `json:"header,omitempty"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Streamed wraps each message of a streaming call.
type Streamed[T any] struct {
	Result T `json:"result"`
}

// Decode reads a request whose field names may be in snake case or in camel
// case, as the gateway accepts both.
func Decode(body []byte, req any) error {
	if len(bytes.TrimSpace(body)) == 0 {
		return nil
	}
	var tree any
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	if err := dec.Decode(&tree); err != nil {
		return err
	}
	b, err := json.Marshal(snake(tree))
	if err != nil {
		return err
	}
	return json.Unmarshal(b, req)
}

// snake renames fields to snake case, except those of leases.
func snake(v any) any {
	switch v := v.(type) {
	case map[string]any:
		m := make(map[string]any, len(v))
		for name, field := range v {
			m[snakeName(name)] = snake(field)
		}
		return m
	case []any:
		for i := range v {
			v[i] = snake(v[i])
		}
	}
	return v
}

func snakeName(name string) string {
	if name == "ID" || name == "TTL" {
		return name
	}
	var b strings.Builder
	for i, r := range name {
		if r >= 'A' && r <= 'Z' {
			if i > 0 {
				b.WriteByte('_')
			}
			r += 'a' - 'A'
		}
		b.WriteRune(r)
	}
	return b.String()
}
