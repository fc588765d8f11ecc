package platform

import (
	"encoding/json"
	"net/http"
)

// watch streams the changes of a key range until the client leaves or the
// store goes down.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.counts.call("watch")
	up := p.upContext()
	var req watchRequest
	if !p.receive(w, r, &req) {
		return
	}
	if req.Create == nil {
		writeError(w, newError(codeInvalidArgument, "create_request is missing"))
		return
	}
	p.counts.watch(1, 0)
	defer p.counts.watch(-1, 0)
	w.Header().Set("Content-Type", "application/json")
	send := func(resp watchResponse) bool {
		p.pause(r.Context(), up)
		if up.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		err := json.NewEncoder(w).Encode(streamed[watchResponse]{resp})
		w.(http.Flusher).Flush()
		p.counts.watch(0, len(resp.Events))
		return err == nil
	}
	from := int64(req.Create.StartRevision)
	current := p.kv.currentRevision()
	if from == 0 {
		from = current + 1
	}
	if !send(watchResponse{Header: headerAt(current), Created: true}) {
		return
	}
	for {
		events, next, changed, ok := p.kv.events(req.Create.Key, req.Create.RangeEnd, from)
		if !ok {
			send(watchResponse{
				Header: headerAt(p.kv.currentRevision()), Canceled: true, CompactRevision: int64s(p.kv.compactRevision()),
			})
			return
		}
		if !req.Create.PrevKV {
			for i := range events {
				events[i].PrevKV = nil
			}
		}
		if len(events) > 0 && !send(watchResponse{Header: headerAt(next - 1), Events: events}) {
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

func (s *kv) currentRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *kv) compactRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compacted
}
