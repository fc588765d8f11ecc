package platform

import (
	"bytes"
	"maps"
	"slices"
	"sync"
)

// maxValue is the largest value in bytes.
const maxValue = 1 << 20

// kv is the state of the store.
type kv struct {
	mu        sync.Mutex
	revision  int64
	compacted int64
	keys      map[string]keyValue
	// stale is what reads see while stale reads are switched on.
	stale         map[string]keyValue
	staleRevision int64
	history       []event
	leases        map[int64]*lease
	lastLease     int64
	// changed is closed and replaced at each new revision.
	changed chan struct{}
}

func newKV() *kv {
	return &kv{
		revision: 1,
		keys:     map[string]keyValue{},
		leases:   map[int64]*lease{},
		changed:  make(chan struct{}),
	}
}

func headerAt(revision int64) *header {
	return &header{ClusterID: 1, MemberID: 1, Revision: int64s(revision), RaftTerm: 1}
}

// setStale freezes what reads see, or ends that.
func (s *kv) setStale(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	if on {
		s.stale, s.staleRevision = maps.Clone(s.keys), s.revision
	}
}

// read answers a range request.
func (s *kv) read(req rangeRequest) rangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	keys, revision := s.keys, s.revision
	if s.stale != nil {
		keys, revision = s.stale, s.staleRevision
	}
	resp := find(keys, req)
	resp.Header = headerAt(revision)
	return resp
}

func find(keys map[string]keyValue, req rangeRequest) rangeResponse {
	var list []keyValue
	for _, kv := range keys {
		if inRange(kv.Key, req.Key, req.RangeEnd) {
			list = append(list, kv)
		}
	}
	slices.SortFunc(list, func(a, b keyValue) int { return bytes.Compare(a.Key, b.Key) })
	resp := rangeResponse{Count: int64s(len(list))}
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
func (s *kv) put(req putRequest, revision int64) putResponse {
	var resp putResponse
	old, ok := s.keys[string(req.Key)]
	kv := keyValue{
		Key: req.Key, Value: req.Value, Lease: req.Lease,
		CreateRevision: int64s(revision), ModRevision: int64s(revision), Version: 1,
	}
	e := event{}
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
func (s *kv) remove(req deleteRequest, revision int64) deleteResponse {
	found := find(s.keys, rangeRequest{Key: req.Key, RangeEnd: req.RangeEnd})
	resp := deleteResponse{Deleted: found.Count}
	for _, kv := range found.Kvs {
		delete(s.keys, string(kv.Key))
		s.history = append(s.history, event{
			Type: "DELETE", KV: keyValue{Key: kv.Key, ModRevision: int64s(revision)}, PrevKV: &kv,
		})
	}
	if req.PrevKV {
		resp.PrevKvs = found.Kvs
	}
	return resp
}

// compact forgets the history before a revision.
func (s *kv) compact(revision int64) (*header, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.revision {
		return nil, newError(codeOutOfRange, "etcdserver: mvcc: required revision is a future revision")
	}
	if revision <= s.compacted {
		return nil, newError(codeOutOfRange, "etcdserver: mvcc: required revision has been compacted")
	}
	s.compacted = revision
	s.history = slices.DeleteFunc(s.history, func(e event) bool { return int64(e.KV.ModRevision) < revision })
	return headerAt(s.revision), nil
}

// events returns what happened in a key range at or after a revision, the next
// revision to ask for, and a channel that is closed at the next change. It
// reports false when the history was compacted.
func (s *kv) events(key, end []byte, from int64) ([]event, int64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if from < s.compacted {
		return nil, 0, nil, false
	}
	i, _ := slices.BinarySearchFunc(s.history, from, func(e event, from int64) int {
		return int(int64(e.KV.ModRevision) - from)
	})
	var list []event
	for _, e := range s.history[i:] {
		if inRange(e.KV.Key, key, end) {
			list = append(list, e)
		}
	}
	return list, s.revision + 1, s.changed, true
}

// commit ends a revision that changed something. The caller holds mu.
func (s *kv) commit(revision int64) {
	s.revision = revision
	close(s.changed)
	s.changed = make(chan struct{})
}
