package storer

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeGateway implements the part of the etcd v3 JSON gateway that EtcdClient uses.
type fakeGateway struct {
	mu        sync.Mutex
	revision  int64
	entries   map[string]keyValue
	log       []watchEvent
	compacted int64
	changed   chan struct{}
	// intercept handles a request in place of the fake when it returns true.
	intercept func(w http.ResponseWriter, r *http.Request) bool
}

func newFake(t testing.TB) (*fakeGateway, *EtcdClient) {
	f := &fakeGateway{entries: map[string]keyValue{}, revision: 1, changed: make(chan struct{})}
	srv := httptest.NewServer(f)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	g := NewEtcdClient(Config{Endpoints: []string{srv.URL}, Timeout: 300 * time.Millisecond})
	t.Cleanup(g.Close)
	return f, g
}

func (f *fakeGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.intercept != nil && f.intercept(w, r) {
		return
	}
	switch r.URL.Path {
	case "/v3/kv/range":
		serve(w, r, f.serveRange)
	case "/v3/kv/txn":
		serve(w, r, f.serveTxn)
	case "/v3/watch":
		f.serveWatch(w, r)
	case "/v3/lease/grant":
		serve(w, r, func(req leaseRequest) any { return leaseResponse{ID: 7, TTL: req.TTL} })
	case "/v3/lease/keepalive":
		serve(w, r, func(req leaseRequest) any { return map[string]any{"result": map[string]any{"ID": "8"}} })
	default:
		w.WriteHeader(http.StatusNotFound)
		json.NewEncoder(w).Encode(map[string]any{"error": "lease not found", "code": codeNotFound})
	}
}

func serve[T any](w http.ResponseWriter, r *http.Request, answer func(T) any) {
	var req T
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	json.NewEncoder(w).Encode(answer(req))
}

func (f *fakeGateway) serveRange(req rangeRequest) any {
	f.mu.Lock()
	defer f.mu.Unlock()
	resp := rangeResponse{Header: header{int64Text(f.revision)}}
	for key, kv := range f.entries {
		if key == string(req.Key) || req.RangeEnd != nil && key >= string(req.Key) && key < string(req.RangeEnd) {
			resp.Entries = append(resp.Entries, kv)
		}
	}
	sort.Slice(resp.Entries, func(i, j int) bool { return string(resp.Entries[i].Key) < string(resp.Entries[j].Key) })
	if req.Limit > 0 && len(resp.Entries) > int(req.Limit) {
		resp.Entries, resp.More = resp.Entries[:req.Limit], true
	}
	return resp
}

func (f *fakeGateway) serveTxn(req txnRequest) any {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range req.Compare {
		if f.entries[string(c.Key)].ModRevision != c.ModRevision {
			return txnResponse{Header: header{int64Text(f.revision)}}
		}
	}
	f.revision++
	for _, o := range req.Success {
		f.run(o)
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return txnResponse{Header: header{int64Text(f.revision)}, Succeeded: true}
}

func (f *fakeGateway) run(o txnOperation) {
	if o.Delete != nil {
		delete(f.entries, string(o.Delete.Key))
		kv := keyValue{Key: o.Delete.Key, ModRevision: int64Text(f.revision)}
		f.log = append(f.log, watchEvent{Type: "DELETE", Entry: kv})
		return
	}
	kv := keyValue{Key: o.Put.Key, Value: o.Put.Value, Lease: o.Put.Lease, ModRevision: int64Text(f.revision)}
	f.entries[string(kv.Key)] = kv
	f.log = append(f.log, watchEvent{Entry: kv})
}

func (f *fakeGateway) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req watchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		return
	}
	enc := json.NewEncoder(w)
	write := func(resp watchResponse) {
		enc.Encode(map[string]any{"result": resp})
		w.(http.Flusher).Flush()
	}
	write(watchResponse{Created: true})
	if f.compacted >= int64(req.Create.StartRevision) {
		write(watchResponse{Canceled: true, CompactRevision: int64Text(f.compacted + 1)})
		return
	}
	for sent := 0; ; {
		f.mu.Lock()
		changed, log, revision := f.changed, f.log[sent:], f.revision
		sent = len(f.log)
		f.mu.Unlock()
		resp := watchResponse{Header: header{int64Text(revision)}}
		for _, e := range log {
			if e.Entry.ModRevision >= req.Create.StartRevision && strings.HasPrefix(string(e.Entry.Key), string(req.Create.Key)) {
				resp.Events = append(resp.Events, e)
			}
		}
		if len(resp.Events) > 0 {
			write(resp)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}
