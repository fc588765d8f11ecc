package platform

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"marigoldhub.example/hub/standin/platform/store"
)

// maxBody is larger than any request whose values are within their limit, so
// that the store itself refuses larger values.
const maxBody = 16 << 20

func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	handle(p, mux, "/v3/kv/range", "range", false, func(req store.RangeRequest) (any, error) { return p.kv.Read(req), nil })
	handle(p, mux, "/v3/kv/txn", "txn", true, func(req store.TxnRequest) (any, error) { return p.kv.Txn(req) })
	handle(p, mux, "/v3/kv/put", "put", true, func(req store.PutRequest) (any, error) {
		resp, err := p.kv.One(store.RequestOp{Put: &req})
		return resp.Put, err
	})
	handle(p, mux, "/v3/kv/deleterange", "deleterange", true, func(req store.DeleteRequest) (any, error) {
		resp, err := p.kv.One(store.RequestOp{Delete: &req})
		return resp.Delete, err
	})
	handle(p, mux, "/v3/kv/compaction", "compaction", true, func(req store.CompactRequest) (any, error) {
		h, err := p.kv.Compact(int64(req.Revision))
		return store.CompactResponse{Header: h}, err
	})
	handle(p, mux, "/v3/lease/grant", "lease_grant", true, func(req store.LeaseRequest) (any, error) { return p.kv.Grant(req) })
	handle(p, mux, "/v3/lease/keepalive", "lease_keepalive", true, func(req store.LeaseRequest) (any, error) {
		return store.Streamed[store.LeaseResponse]{Result: p.kv.KeepAlive(int64(req.ID))}, nil
	})
	revoke := func(req store.LeaseRequest) (any, error) { return p.kv.Revoke(int64(req.ID)) }
	handle(p, mux, "/v3/lease/revoke", "lease_revoke", true, revoke)
	handle(p, mux, "/v3/kv/lease/revoke", "lease_revoke", true, revoke)
	mux.HandleFunc("POST /v3/watch", p.watch)
	mux.HandleFunc("GET /v1/instances", p.getInstances)
	mux.HandleFunc("PUT /v1/instances", p.putInstances)
	return mux
}

// handle serves one kind of call with the faults that are switched on.
func handle[T any](p *Platform, mux *http.ServeMux, path, kind string, writes bool, call func(T) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		p.counts.call(kind)
		var req T
		if !p.receive(w, r, &req) {
			return
		}
		resp, err := call(req)
		if err != nil {
			writeError(w, err)
			return
		}
		if writes && p.takeLoss() || p.upContext().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, http.StatusOK, resp)
	})
}

// receive reads a request and reports whether it is to be served.
func (p *Platform) receive(w http.ResponseWriter, r *http.Request, req any) bool {
	up := p.upContext()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, store.NewError(store.CodeInvalidArgument, "etcdserver: request is too large"))
		return false
	}
	p.pause(r.Context(), up)
	if up.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if err := store.Decode(body, req); err != nil {
		writeError(w, store.NewError(store.CodeInvalidArgument, err.Error()))
		return false
	}
	return true
}

// pause waits for the delay that is switched on.
func (p *Platform) pause(ctx, up context.Context) {
	d := time.Duration(p.slow.Load())
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-up.Done():
	}
}

func (p *Platform) takeLoss() bool {
	for {
		n := p.lose.Load()
		if n <= 0 {
			return false
		}
		if p.lose.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

func (p *Platform) putInstances(w http.ResponseWriter, r *http.Request) {
	var list []Instance
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.instances.set(list)
	w.WriteHeader(http.StatusNoContent)
}

func writeError(w http.ResponseWriter, err error) {
	var e *store.Error
	if !errors.As(err, &e) {
		e = store.NewError(store.CodeInvalidArgument, err.Error())
	}
	writeJSON(w, e.HTTPStatus(), e)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// getInstances answers 304 to a client that has the published list already
// (RFC 9110, section 13.1.2).
func (p *Platform) getInstances(w http.ResponseWriter, r *http.Request) {
	p.counts.call("instances")
	list := p.instances.published()
	data, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf(`"%x"`, sha256.Sum256(data))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
