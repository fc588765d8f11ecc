package link

import (
	"encoding/json"
	"net"
	"net/http"
)

func (r *Relay) startControl() error {
	ln, err := net.Listen("tcp", r.cfg.Control)
	if err != nil {
		return err
	}
	r.ctrlAddr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rule", r.postRule)
	mux.HandleFunc("DELETE /v1/rule", func(w http.ResponseWriter, req *http.Request) {
		q := req.URL.Query()
		answer(w, r.RemoveRule(q.Get("source"), q.Get("link")))
	})
	mux.HandleFunc("DELETE /v1/rules", func(w http.ResponseWriter, _ *http.Request) {
		r.ClearRules()
		answer(w, nil)
	})
	mux.HandleFunc("GET /v1/rules", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Rules()) })
	mux.HandleFunc("GET /v1/bytes", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Bytes()) })
	r.control = &http.Server{Handler: mux}
	r.tasks.Go(func() { r.control.Serve(ln) })
	return nil
}

func (r *Relay) postRule(w http.ResponseWriter, req *http.Request) {
	var rule Rule
	dec := json.NewDecoder(req.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&rule); err != nil {
		answer(w, err)
		return
	}
	answer(w, r.SetRule(rule))
}

func answer(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
