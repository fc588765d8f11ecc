//go:build review

package standin

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"marigoldhub.example/hub/internal/storer"
)

// pageItems is the most items of one page.
const pageItems = 500

// storeHandler serves the platform's store to one instance.
func (w *world) storeHandler(n *node) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", func(rw http.ResponseWriter, r *http.Request) {
		e, ok, err := w.store.Get(r.Context(), r.URL.Query().Get("key"))
		if err == nil && !ok {
			rw.WriteHeader(http.StatusNotFound)
			return
		}
		body := itemOf(e)
		body["store_revision"] = e.ModRevision
		reply(rw, err, body)
	})
	mux.HandleFunc("GET /api/kv-range", func(rw http.ResponseWriter, r *http.Request) {
		entries, revision, err := w.store.List(r.Context(), r.URL.Query().Get("prefix"))
		items, truncated := []any{}, false
		for _, e := range entries {
			if e.Key <= r.URL.Query().Get("after") {
				continue
			}
			if truncated = len(items) == pageItems; truncated {
				break
			}
			items = append(items, itemOf(e))
		}
		reply(rw, err, map[string]any{"items": items, "truncated": truncated, "store_revision": revision})
	})
	mux.HandleFunc("GET /api/kv-watch", w.watch)
	mux.HandleFunc("POST /api/kv-lease", func(rw http.ResponseWriter, r *http.Request) {
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		id, err := w.store.GrantLease(r.Context(), time.Duration(body.TTL)*time.Millisecond)
		reply(rw, err, map[string]any{"lease": id, "ttl_ms": body.TTL})
	})
	mux.HandleFunc("POST /api/kv-keep/{id}", func(rw http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		ttl, err := w.store.KeepAlive(r.Context(), id)
		reply(rw, err, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
	})
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", func(rw http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		reply(rw, w.store.Revoke(r.Context(), id), map[string]any{})
	})
	mux.HandleFunc("POST /api/kv-txn", func(rw http.ResponseWriter, r *http.Request) { w.transact(rw, r, n) })
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Store-Era", strconv.FormatInt(w.store.Epoch(), 10))
		mux.ServeHTTP(rw, r)
	})
}

func itemOf(e storer.Entry) map[string]any {
	return map[string]any{
		"key": e.Key, "value": base64.StdEncoding.EncodeToString(e.Value), "revision": e.ModRevision, "created": e.CreateRevision, "lease": e.Lease,
	}
}

func reply(rw http.ResponseWriter, err error, body any) {
	switch {
	case err == nil:
		rw.Header().Set("Content-Type", "application/json")
		json.NewEncoder(rw).Encode(body)
	case errors.Is(err, storer.ErrLeaseNotFound):
		rw.WriteHeader(http.StatusNotFound)
	default:
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (w *world) watch(rw http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	watch, err := w.store.Watch(r.Context(), r.URL.Query().Get("prefix"), after+1)
	if err != nil {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer watch.Close()
	body := map[string]any{"events": []any{}, "store_revision": after}
	select {
	case b, ok := <-watch.Batches():
		var compacted *storer.CompactedError
		if !ok {
			if errors.As(watch.Err(), &compacted) {
				rw.WriteHeader(http.StatusGone)
			} else {
				rw.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		events := []any{}
		for _, c := range b.Changes {
			if c.Deleted {
				events = append(events, map[string]any{"key": c.Entry.Key, "revision": c.Entry.ModRevision, "tombstone": true})
			} else {
				events = append(events, itemOf(c.Entry))
			}
		}
		body = map[string]any{"events": events, "store_revision": b.Revision}
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	reply(rw, nil, body)
}

func (w *world) transact(rw http.ResponseWriter, r *http.Request, n *node) {
	var body struct {
		Conditions []struct {
			Key      string
			Revision int64
		} `json:"if_revision"`
		Puts []struct {
			Key   string
			Value []byte
			Lease int64
		} `json:"put_items"`
		Deletes []string `json:"delete_keys"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	tx := storer.Transaction{}
	for _, c := range body.Conditions {
		tx = tx.WithUnchanged(c.Key, c.Revision)
	}
	for _, p := range body.Puts {
		tx = tx.WithLeasedPut(p.Key, p.Value, p.Lease)
	}
	for _, d := range body.Deletes {
		tx = tx.WithDelete(d)
	}
	result, err := w.store.Commit(r.Context(), tx)
	switch {
	case err != nil:
		rw.WriteHeader(http.StatusServiceUnavailable)
	case !result.Succeeded:
		items := []any{}
		for _, c := range body.Conditions {
			if e, ok, err := w.store.Get(r.Context(), c.Key); err == nil && ok {
				items = append(items, itemOf(e))
			}
		}
		rw.WriteHeader(http.StatusPreconditionFailed)
		json.NewEncoder(rw).Encode(map[string]any{"items": items})
	default:
		if len(body.Conditions) > 0 {
			w.mu.Lock()
			w.lastWriter = n
			w.mu.Unlock()
			w.note("%s writes to the store under a condition, revision %d", n.name, result.Revision)
		}
		reply(rw, nil, map[string]any{"revision": result.Revision})
	}
}
