package platform

import (
	"encoding/json"
	"net/http"

	"marigoldhub.example/hub/standin/platform/store"
)

// watch streams the changes of a key range until the client leaves or the
// store goes down.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.counts.call("watch")
	up := p.upContext()
	var req store.WatchRequest
	if !p.receive(w, r, &req) {
		return
	}
	if req.Create == nil {
		writeError(w, store.NewError(store.CodeInvalidArgument, "create_request is missing"))
		return
	}
	p.counts.watch(1, 0)
	defer p.counts.watch(-1, 0)
	w.Header().Set("Content-Type", "application/json")
	send := func(resp store.WatchResponse) bool {
		p.pause(r.Context(), up)
		if up.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		err := json.NewEncoder(w).Encode(store.Streamed[store.WatchResponse]{Result: resp})
		w.(http.Flusher).Flush()
		p.counts.watch(0, len(resp.Events))
		return err == nil
	}
	from := int64(req.Create.StartRevision)
	current := p.kv.Revision()
	if from == 0 {
		from = current + 1
	}
	if !send(store.WatchResponse{Header: store.NewHeader(current), Created: true}) {
		return
	}
	for {
		events, next, changed, ok := p.kv.Events(req.Create.Key, req.Create.RangeEnd, from)
		if !ok {
			send(store.WatchResponse{
				Header: store.NewHeader(p.kv.Revision()), Canceled: true, CompactRevision: store.Int64(p.kv.CompactRevision()),
			})
			return
		}
		if !req.Create.PrevKV {
			for i := range events {
				events[i].PrevKV = nil
			}
		}
		if len(events) > 0 && !send(store.WatchResponse{Header: store.NewHeader(next - 1), Events: events}) {
			return
		}
		from = max(from, next)
		select {
		case <-changed:
		case <-up.Done():
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}
