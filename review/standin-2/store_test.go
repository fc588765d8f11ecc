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

// pageItems is the most items of a page.
const pageItems = 500

// storeAnswer writes the answer to a call of the store.
func (w *world) storeAnswer(rw http.ResponseWriter, err error, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Store-Era", strconv.FormatInt(w.store.Epoch(), 10))
	switch {
	case errors.Is(err, storer.ErrLeaseNotFound):
		rw.WriteHeader(http.StatusNotFound)
	case err != nil:
		rw.WriteHeader(http.StatusServiceUnavailable)
	default:
		json.NewEncoder(rw).Encode(body)
	}
}

func (w *world) storeStatus(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Store-Era", strconv.FormatInt(w.store.Epoch(), 10))
	rw.WriteHeader(status)
	json.NewEncoder(rw).Encode(body)
}

// storeItem returns an entry as the store shows it.
func storeItem(e storer.Entry) map[string]any {
	return map[string]any{
		"key": e.Key, "value": base64.StdEncoding.EncodeToString(e.Value), "revision": e.ModRevision, "created": e.CreateRevision, "lease": e.Lease,
	}
}

// serveStore serves the calls of the platform's store.
func (w *world) serveStore(mux *http.ServeMux) {
	mux.HandleFunc("GET /api/kv-key", func(rw http.ResponseWriter, r *http.Request) {
		e, ok, err := w.store.Get(r.Context(), r.URL.Query().Get("key"))
		if err == nil && !ok {
			w.storeStatus(rw, http.StatusNotFound, struct{}{})
			return
		}
		w.storeAnswer(rw, err, storeItem(e))
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
			items = append(items, storeItem(e))
		}
		w.storeAnswer(rw, err, map[string]any{"items": items, "truncated": truncated, "store_revision": revision})
	})
	mux.HandleFunc("GET /api/kv-watch", w.watch)
	mux.HandleFunc("POST /api/kv-lease", func(rw http.ResponseWriter, r *http.Request) {
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		json.NewDecoder(r.Body).Decode(&body)
		id, err := w.store.GrantLease(r.Context(), time.Duration(body.TTL)*time.Millisecond)
		w.storeAnswer(rw, err, map[string]any{"lease": id, "ttl_ms": body.TTL})
	})
	mux.HandleFunc("POST /api/kv-keep/{id}", func(rw http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		ttl, err := w.store.KeepAlive(r.Context(), id)
		w.storeAnswer(rw, err, map[string]any{"ttl_ms": ttl.Milliseconds()})
	})
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", func(rw http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		w.storeAnswer(rw, w.store.Revoke(r.Context(), id), struct{}{})
	})
	mux.HandleFunc("POST /api/kv-txn", w.transact)
}

func (w *world) watch(rw http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	watch, err := w.store.Watch(r.Context(), r.URL.Query().Get("prefix"), after+1)
	if err != nil {
		w.storeAnswer(rw, err, nil)
		return
	}
	defer watch.Close()
	events, revision := []any{}, after
	select {
	case b, ok := <-watch.Batches():
		var compacted *storer.CompactedError
		if !ok && errors.As(watch.Err(), &compacted) {
			w.storeStatus(rw, http.StatusGone, struct{}{})
			return
		}
		for _, c := range b.Changes {
			if c.Deleted {
				events = append(events, map[string]any{"key": c.Entry.Key, "revision": c.Entry.ModRevision, "tombstone": true})
				continue
			}
			events = append(events, storeItem(c.Entry))
		}
		revision = b.Revision
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-r.Context().Done():
	}
	w.storeAnswer(rw, nil, map[string]any{"events": events, "store_revision": revision})
}

func (w *world) transact(rw http.ResponseWriter, r *http.Request) {
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
		w.storeStatus(rw, http.StatusBadRequest, struct{}{})
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
	if err == nil && !result.Succeeded {
		items := []any{}
		for _, c := range body.Conditions {
			if e, ok, _ := w.store.Get(r.Context(), c.Key); ok {
				items = append(items, storeItem(e))
			}
		}
		w.storeStatus(rw, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	w.storeAnswer(rw, err, map[string]any{"revision": result.Revision})
}
