package platform

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"marigoldhub.example/hub/standin/platform/store"
)

// Guards against goroutines that outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startPlatform(t *testing.T) *Platform {
	t.Helper()
	p, err := Start(Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// call posts a request and decodes the answer into resp.
func call(t *testing.T, p *Platform, path, body string, resp any) error {
	t.Helper()
	r, err := http.Post("http://"+p.Addr()+path, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		var e store.Error
		if err := json.NewDecoder(r.Body).Decode(&e); err != nil {
			return err
		}
		return &e
	}
	return json.NewDecoder(r.Body).Decode(resp)
}

// The keys and values of these requests are "k" (aw==), "v" (dg==) and "w"
// (dw==).
const (
	getKey   = `{"key":"aw=="}`
	create   = `{"compare":[{"target":"MOD","key":"aw==","mod_revision":"0"}],"success":[{"request_put":{"key":"aw==","value":"dg=="}}],"failure":[{"request_range":{"key":"aw=="}}]}`
	createIn = `{"compare":[{"target":"CREATE","key":"aw==","createRevision":0}],"success":[{"requestPut":{"key":"aw==","value":"dw=="}}],"failure":[{"requestRange":{"key":"aw=="}}]}`
)

// Guards against a compare-and-swap that two writers win, in either spelling
// of field names.
func TestTxn(t *testing.T) {
	p := startPlatform(t)
	var first, second store.TxnResponse
	if err := call(t, p, "/v3/kv/txn", create, &first); err != nil || !first.Succeeded {
		t.Fatalf("%+v, %v", first, err)
	}
	if err := call(t, p, "/v3/kv/txn", createIn, &second); err != nil || second.Succeeded {
		t.Fatalf("%+v, %v", second, err)
	}
	kvs := second.Responses[0].Range.Kvs
	if len(kvs) != 1 || string(kvs[0].Value) != "v" || kvs[0].ModRevision != first.Header.Revision {
		t.Errorf("got %+v", kvs)
	}
	cases := []struct {
		compare string
		want    bool
	}{
		{`{"target":"VALUE","key":"aw==","value":"dg=="}`, true},
		{`{"target":"VALUE","key":"aw==","value":"dw=="}`, false},
		{`{"target":"VERSION","key":"aw==","version":"1","result":"EQUAL"}`, true},
		{`{"target":"VERSION","key":"aw==","version":"1","result":"GREATER"}`, false},
		{`{"target":"MOD","key":"aw==","mod_revision":"9","result":"LESS"}`, true},
		{`{"target":"CREATE","key":"aw==","create_revision":"0","result":"NOT_EQUAL"}`, true},
	}
	for _, tc := range cases {
		var resp store.TxnResponse
		if err := call(t, p, "/v3/kv/txn", `{"compare":[`+tc.compare+`]}`, &resp); err != nil || resp.Succeeded != tc.want {
			t.Errorf("%s: %v, %v", tc.compare, resp.Succeeded, err)
		}
	}
}

// Guards against a refused transaction that leaves some of its writes.
func TestTooLargeValue(t *testing.T) {
	p := startPlatform(t)
	big, _ := json.Marshal(bytes.Repeat([]byte{'x'}, store.MaxValue+1))
	body := `{"success":[{"request_put":{"key":"aw==","value":"dg=="}},{"request_put":{"key":"eA==","value":` + string(big) + `}}]}`
	if err := call(t, p, "/v3/kv/txn", body, &store.TxnResponse{}); err == nil || !strings.Contains(err.Error(), "too large") {
		t.Fatalf("got %v", err)
	}
	var resp store.RangeResponse
	if err := call(t, p, "/v3/kv/range", getKey, &resp); err != nil || resp.Count != 0 {
		t.Errorf("%+v, %v", resp, err)
	}
}

// Guards against a lost answer whose write did not take effect.
func TestLoseAnswer(t *testing.T) {
	p := startPlatform(t)
	p.LoseAnswers(1)
	if err := call(t, p, "/v3/kv/txn", create, &store.TxnResponse{}); err == nil {
		t.Fatal("answer arrived")
	}
	var resp store.RangeResponse
	if err := call(t, p, "/v3/kv/range", getKey, &resp); err != nil || resp.Count != 1 {
		t.Errorf("%+v, %v", resp, err)
	}
}

// Guards against stale reads that change, and an outage that answers.
func TestStaleAndDown(t *testing.T) {
	p := startPlatform(t)
	p.SetStale(true)
	if err := call(t, p, "/v3/kv/put", `{"key":"aw==","value":"dg=="}`, &store.PutResponse{}); err != nil {
		t.Fatal(err)
	}
	var resp store.RangeResponse
	if err := call(t, p, "/v3/kv/range", getKey, &resp); err != nil || resp.Count != 0 {
		t.Errorf("stale: %+v, %v", resp, err)
	}
	p.SetStale(false)
	p.SetDown(true)
	if err := call(t, p, "/v3/kv/range", getKey, &resp); err == nil {
		t.Error("store answered while down")
	}
	p.SetDown(false)
	if err := call(t, p, "/v3/kv/range", getKey, &resp); err != nil || resp.Count != 1 {
		t.Errorf("after: %+v, %v", resp, err)
	}
}

// watchKeys opens a watch of all keys and returns its messages.
func watchKeys(t *testing.T, p *Platform, fields string) <-chan store.WatchResponse {
	t.Helper()
	body := `{"create_request":{"key":"AA==","range_end":"AA=="` + fields + `}}`
	r, err := http.Post("http://"+p.Addr()+"/v3/watch", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Body.Close() })
	ch := make(chan store.WatchResponse, 16)
	go func() {
		defer close(ch)
		sc := bufio.NewScanner(r.Body)
		for sc.Scan() {
			var m store.Streamed[store.WatchResponse]
			if json.Unmarshal(sc.Bytes(), &m) != nil {
				return
			}
			ch <- m.Result
		}
	}()
	if m := next(t, ch); !m.Created {
		t.Fatalf("first message %+v", m)
	}
	return ch
}

func next(t *testing.T, ch <-chan store.WatchResponse) store.WatchResponse {
	t.Helper()
	select {
	case m, ok := <-ch:
		if !ok {
			t.Fatal("watch ended")
		}
		return m
	case <-time.After(5 * time.Second):
		t.Fatal("no message")
		return store.WatchResponse{}
	}
}

// Guards against a watch that misses or repeats changes, also those of an
// expired lease.
func TestWatch(t *testing.T) {
	p := startPlatform(t)
	live := watchKeys(t, p, "")
	var l store.LeaseResponse
	if err := call(t, p, "/v3/lease/grant", `{"TTL":"1"}`, &l); err != nil || l.ID == 0 {
		t.Fatalf("%+v, %v", l, err)
	}
	var put store.PutResponse
	if err := call(t, p, "/v3/kv/put", `{"key":"aw==","value":"dg==","lease":"1"}`, &put); err != nil {
		t.Fatal(err)
	}
	m := next(t, live)
	if len(m.Events) != 1 || m.Events[0].Type != "" || string(m.Events[0].KV.Value) != "v" {
		t.Fatalf("got %+v", m)
	}
	m = next(t, live)
	if len(m.Events) != 1 || m.Events[0].Type != "DELETE" || m.Events[0].KV.ModRevision != put.Header.Revision+1 {
		t.Fatalf("got %+v", m)
	}
	late := watchKeys(t, p, `,"start_revision":"2"`)
	if m := next(t, late); len(m.Events) != 2 {
		t.Errorf("history: %+v", m)
	}
	if got := p.Counts().OpenWatches; got != 2 {
		t.Errorf("%d open watches", got)
	}
	p.SetDown(true)
	select {
	case _, ok := <-live:
		if ok {
			t.Error("message after the outage began")
		}
	case <-time.After(5 * time.Second):
		t.Error("watch survived an outage")
	}
}

// Guards against a watch that silently skips compacted history.
func TestCompactedWatch(t *testing.T) {
	p := startPlatform(t)
	for range 3 {
		if err := call(t, p, "/v3/kv/put", `{"key":"aw==","value":"dg=="}`, &store.PutResponse{}); err != nil {
			t.Fatal(err)
		}
	}
	if err := call(t, p, "/v3/kv/compaction", `{"revision":"3"}`, &store.CompactResponse{}); err != nil {
		t.Fatal(err)
	}
	if m := next(t, watchKeys(t, p, `,"start_revision":"2"`)); !m.Canceled || m.CompactRevision != 3 {
		t.Errorf("got %+v", m)
	}
}

// Guards against a list that is published before its age.
func TestPublicationLag(t *testing.T) {
	p := startPlatform(t)
	p.SetInstances([]Instance{{Name: "a"}})
	p.SetPublicationLag(100 * time.Millisecond)
	time.Sleep(110 * time.Millisecond)
	p.SetInstances([]Instance{{Name: "b"}})
	names := func() string {
		r, err := http.Get("http://" + p.Addr() + "/v1/instances")
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		var list []Instance
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil || len(list) != 1 {
			t.Fatalf("%v, %v", list, err)
		}
		return list[0].Name
	}
	if got := names(); got != "a" {
		t.Errorf("before: %s", got)
	}
	time.Sleep(150 * time.Millisecond)
	if got := names(); got != "b" {
		t.Errorf("after: %s", got)
	}
}

// Guards against a list that is sent again to a client that has it.
func TestInstancesNotModified(t *testing.T) {
	p, err := Start(Config{Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	get := func(etag string) *http.Response {
		req, err := http.NewRequest(http.MethodGet, "http://"+p.Addr()+"/v1/instances", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("If-None-Match", etag)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp
	}
	first := get("")
	etag := first.Header.Get("ETag")
	if first.StatusCode != http.StatusOK || etag == "" {
		t.Fatalf("first answer: status %d, ETag %q", first.StatusCode, etag)
	}
	if resp := get(etag); resp.StatusCode != http.StatusNotModified {
		t.Errorf("unchanged list: status %d, want 304", resp.StatusCode)
	}
	p.SetInstances([]Instance{{Name: "a", Address: "127.0.0.1:1", Kind: "entry", State: "live"}})
	if resp := get(etag); resp.StatusCode != http.StatusOK {
		t.Errorf("changed list: status %d, want 200", resp.StatusCode)
	}
}
