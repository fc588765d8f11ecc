package platform

import (
	"net/http"
	"strconv"
	"time"
)

func (p *Platform) controlHandler() http.Handler {
	mux := http.NewServeMux()
	setter(mux, "POST /v1/down", "on", strconv.ParseBool, p.SetDown)
	setter(mux, "POST /v1/slow", "delay", time.ParseDuration, p.SetSlow)
	setter(mux, "POST /v1/lose_answer", "count", strconv.Atoi, p.LoseAnswers)
	setter(mux, "POST /v1/stale", "on", strconv.ParseBool, p.SetStale)
	setter(mux, "POST /v1/publication_lag", "delay", time.ParseDuration, p.SetPublicationLag)
	mux.HandleFunc("GET /v1/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Counts())
	})
	return mux
}

// setter serves a call that sets one value.
func setter[T any](mux *http.ServeMux, pattern, key string, parse func(string) (T, error), set func(T)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		v, err := parse(r.URL.Query().Get(key))
		if err != nil {
			http.Error(w, key+": "+err.Error(), http.StatusBadRequest)
			return
		}
		set(v)
		w.WriteHeader(http.StatusNoContent)
	})
}
