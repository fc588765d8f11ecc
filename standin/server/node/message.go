package node

import "marigoldhub.example/hub/standin/server/logstore"

// Replication speaks JSON messages, one after another, over TCP: the follower
// sends hello, the primary answers welcome, the follower sends start, and the
// primary streams batches.

type hello struct {
	Server   string `json:"server"`
	Term     uint64 `json:"term"`
	Promoter string `json:"promoter"`
}

type welcome struct {
	Server string `json:"server"`
	Term   uint64 `json:"term"`
	// Refused tells why the server does not stream, empty if it does.
	Refused string `json:"refused,omitempty"`
	Lineage string `json:"lineage"`
	End     uint64 `json:"end"`
}

type start struct {
	// After is the offset of the last record that the follower keeps.
	After uint64 `json:"after"`
}

// batch carries the next records. An empty batch shows that the primary lives.
type batch struct {
	Records []logstore.Record `json:"records,omitempty"`
}
