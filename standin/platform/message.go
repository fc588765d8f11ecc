package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// int64s is an integer that travels as a JSON string, as protobuf's JSON
// mapping has it. Numbers are accepted too.
type int64s int64

// MarshalJSON implements [json.Marshaler].
func (n int64s) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// UnmarshalJSON implements [json.Unmarshaler].
func (n *int64s) UnmarshalJSON(b []byte) error {
	v, err := strconv.ParseInt(strings.Trim(string(b), `"`), 10, 64)
	*n = int64s(v)
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

type header struct {
	ClusterID int64s `json:"cluster_id"`
	MemberID  int64s `json:"member_id"`
	Revision  int64s `json:"revision"`
	RaftTerm  int64s `json:"raft_term"`
}

// keyValue is one version of a key.
type keyValue struct {
	Key            []byte `json:"key"`
	CreateRevision int64s `json:"create_revision,omitempty"`
	ModRevision    int64s `json:"mod_revision,omitempty"`
	Version        int64s `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64s `json:"lease,omitempty"`
}

type rangeRequest struct {
	Key       []byte `json:"key"`
	RangeEnd  []byte `json:"range_end"`
	Limit     int64s `json:"limit"`
	KeysOnly  bool   `json:"keys_only"`
	CountOnly bool   `json:"count_only"`
}

type rangeResponse struct {
	Header *header    `json:"header,omitempty"`
	Kvs    []keyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64s     `json:"count,omitempty"`
}

type putRequest struct {
	Key    []byte `json:"key"`
	Value  []byte `json:"value"`
	Lease  int64s `json:"lease"`
	PrevKV bool   `json:"prev_kv"`
}

type putResponse struct {
	Header *header   `json:"header,omitempty"`
	PrevKV *keyValue `json:"prev_kv,omitempty"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	PrevKV   bool   `json:"prev_kv"`
}

type deleteResponse struct {
	Header  *header    `json:"header,omitempty"`
	Deleted int64s     `json:"deleted,omitempty"`
	PrevKvs []keyValue `json:"prev_kvs,omitempty"`
}

type compare struct {
	Result         enum   `json:"result"`
	Target         enum   `json:"target"`
	Key            []byte `json:"key"`
	Version        int64s `json:"version"`
	CreateRevision int64s `json:"create_revision"`
	ModRevision    int64s `json:"mod_revision"`
	Value          []byte `json:"value"`
	Lease          int64s `json:"lease"`
}

type requestOp struct {
	Range  *rangeRequest  `json:"request_range"`
	Put    *putRequest    `json:"request_put"`
	Delete *deleteRequest `json:"request_delete_range"`
}

type responseOp struct {
	Range  *rangeResponse  `json:"response_range,omitempty"`
	Put    *putResponse    `json:"response_put,omitempty"`
	Delete *deleteResponse `json:"response_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

type txnResponse struct {
	Header    *header      `json:"header,omitempty"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []responseOp `json:"responses,omitempty"`
}

type leaseRequest struct {
	TTL int64s `json:"TTL"`
	ID  int64s `json:"ID"`
}

type leaseResponse struct {
	Header *header `json:"header,omitempty"`
	ID     int64s  `json:"ID,omitempty"`
	TTL    int64s  `json:"TTL,omitempty"`
}

type compactRequest struct {
	Revision int64s `json:"revision"`
}

type compactResponse struct {
	Header *header `json:"header,omitempty"`
}

type watchRequest struct {
	Create *struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64s `json:"start_revision"`
		PrevKV        bool   `json:"prev_kv"`
	} `json:"create_request"`
}

type event struct {
	// Type is empty for a put.
	Type   string    `json:"type,omitempty"`
	KV     keyValue  `json:"kv"`
	PrevKV *keyValue `json:"prev_kv,omitempty"`
}

type watchResponse struct {
	Header          *header `json:"header,omitempty"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64s  `json:"compact_revision,omitempty"`
	Events          []event `json:"events,omitempty"`
}

// streamed wraps each message of a streaming call.
type streamed[T any] struct {
	Result T `json:"result"`
}

// decode reads a request whose field names may be in snake case or in camel
// case, as the gateway accepts both.
func decode(body []byte, req any) error {
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
