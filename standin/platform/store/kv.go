package store

import (
	"bytes"
	"maps"
	"slices"
	"sync"
)

// MaxValue is the largest value in bytes.
const MaxValue = 1 << 20

// Store is the state of the store.
type Store struct {
	mu        sync.Mutex
	revision  int64
	compacted int64
	keys      map[string]KeyValue
	// stale is what reads see while stale reads are switched on.
	stale         map[string]KeyValue
	staleRevision int64
	history       []Event
	leases        map[int64]*lease
	lastLease     int64
	// changed is closed and replaced at each new revision.
	changed chan struct{}
}

// New returns an empty store at revision 1.
func New() *Store {
	return &Store{
		revision: 1,
		keys:     map[string]KeyValue{},
		leases:   map[int64]*lease{},
		changed:  make(chan struct{}),
	}
}

// NewHeader returns the header of an answer at a revision.
func NewHeader(revision int64) *Header {
	return &Header{ClusterID: 1, MemberID: 1, Revision: Int64(revision), RaftTerm: 1}
}

// SetStale freezes what reads see, or ends that.
func (s *Store) SetStale(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	if on {
		s.stale, s.staleRevision = maps.Clone(s.keys), s.revision
	}
}

// Read answers a range request.
func (s *Store) Read(req RangeRequest) RangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	keys, revision := s.keys, s.revision
	if s.stale != nil {
		keys, revision = s.stale, s.staleRevision
	}
	resp := find(keys, req)
	resp.Header = NewHeader(revision)
	return resp
}

func find(keys map[string]KeyValue, req RangeRequest) RangeResponse {
	var list []KeyValue
	for _, kv := range keys {
		if inRange(kv.Key, req.Key, req.RangeEnd) {
			list = append(list, kv)
		}
	}
	slices.SortFunc(list, func(a, b KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	resp := RangeResponse{Count: Int64(len(list))}
	if req.CountOnly {
		return resp
	}
	if req.Limit > 0 && int(req.Limit) < len(list) {
		list = list[:req.Limit]
		resp.More = true
	}
	if req.KeysOnly {
		for i := range list {
			list[i].Value = nil
		}
	}
	resp.Kvs = list
	return resp
}

// inRange reports whether key is in [from, end): an empty end means from
// alone, and a zero byte means no end.
func inRange(key, from, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(key, from)
	case bytes.Equal(end, []byte{0}):
		return bytes.Compare(key, from) >= 0 || bytes.Equal(from, []byte{0})
	}
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
}

// put writes a key in the given revision.
func (s *Store) put(req PutRequest, revision int64) PutResponse {
	var resp PutResponse
	old, ok := s.keys[string(req.Key)]
	kv := KeyValue{
		Key: req.Key, Value: req.Value, Lease: req.Lease,
		CreateRevision: Int64(revision), ModRevision: Int64(revision), Version: 1,
	}
	e := Event{}
	if ok {
		kv.CreateRevision, kv.Version = old.CreateRevision, old.Version+1
		e.PrevKV = &old
		if req.PrevKV {
			resp.PrevKV = &old
		}
	}
	s.keys[string(req.Key)] = kv
	e.KV = kv
	s.history = append(s.history, e)
	return resp
}

// remove deletes keys in the given revision.
func (s *Store) remove(req DeleteRequest, revision int64) DeleteResponse {
	found := find(s.keys, RangeRequest{Key: req.Key, RangeEnd: req.RangeEnd})
	resp := DeleteResponse{Deleted: found.Count}
	for _, kv := range found.Kvs {
		delete(s.keys, string(kv.Key))
		s.history = append(s.history, Event{
			Type: "DELETE", KV: KeyValue{Key: kv.Key, ModRevision: Int64(revision)}, PrevKV: &kv,
		})
	}
	if req.PrevKV {
		resp.PrevKvs = found.Kvs
	}
	return resp
}

// Compact forgets the history before a revision.
func (s *Store) Compact(revision int64) (*Header, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.revision {
		return nil, NewError(CodeOutOfRange, "etcdserver: mvcc: required revision is a future revision")
	}
	if revision <= s.compacted {
		return nil, NewError(CodeOutOfRange, "etcdserver: mvcc: required revision has been compacted")
	}
	s.compacted = revision
	s.history = slices.DeleteFunc(s.history, func(e Event) bool { return int64(e.KV.ModRevision) < revision })
	return NewHeader(s.revision), nil
}

// Events returns what happened in a key range at or after a revision, the next
// revision to ask for, and a channel that is closed at the next change. It
// reports false when the history was compacted.
func (s *Store) Events(key, end []byte, from int64) ([]Event, int64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if from < s.compacted {
		return nil, 0, nil, false
	}
	i, _ := slices.BinarySearchFunc(s.history, from, func(e Event, from int64) int {
		return int(int64(e.KV.ModRevision) - from)
	})
	var list []Event
	for _, e := range s.history[i:] {
		if inRange(e.KV.Key, key, end) {
			list = append(list, e)
		}
	}
	return list, s.revision + 1, s.changed, true
}

// commit ends a revision that changed something. The caller holds mu.
func (s *Store) commit(revision int64) {
	s.revision = revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Revision returns the current revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// CompactRevision returns the oldest revision whose events are kept, 0 before
// the first compaction.
func (s *Store) CompactRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compacted
}
