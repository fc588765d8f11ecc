package server

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"marigoldhub.example/hub/standin/server/logstore"
)

// State is the answer of GET /v1/state.
type State struct {
	Server      string     `json:"server"`
	Role        string     `json:"role"`
	Term        uint64     `json:"term"`
	Promoter    string     `json:"promoter"`
	LogTerm     uint64     `json:"log_term"`
	LogOffset   uint64     `json:"log_offset"`
	Applied     uint64     `json:"applied_offset"`
	Lineage     string     `json:"lineage"`
	Leaving     bool       `json:"leaving"`
	Connections int        `json:"connections"`
	Peak        int        `json:"connections_peak"`
	Statements  int64      `json:"statements"`
	Log         []LogPlace `json:"log"`
}

// LogPlace is the position of one record.
type LogPlace struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
}

// LogPage is the answer of GET /v1/log.
type LogPage struct {
	Records []logstore.Record `json:"records"`
}

func (s *Server) startControl() error {
	ln, err := net.Listen("tcp", s.cfg.Control)
	if err != nil {
		return err
	}
	s.ctrlAddr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.State()) })
	mux.HandleFunc("GET /v1/log", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, LogPage{Records: s.Records()})
	})
	handle(mux, "POST /v1/lag", "delay", time.ParseDuration, s.SetApplyDelay)
	handle(mux, "POST /v1/slow", "delay", time.ParseDuration, s.SetSlow)
	handle(mux, "POST /v1/leaving", "on", strconv.ParseBool, s.SetLeaving)
	handle(mux, "POST /v1/freeze", "on", strconv.ParseBool, s.SetFrozen)
	handle(mux, "POST /v1/lose_answer", "count", strconv.Atoi, s.LoseAnswers)
	s.control = &http.Server{Handler: mux}
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		s.control.Serve(ln)
	}()
	return nil
}

// handle serves a call that sets one value.
func handle[T any](mux *http.ServeMux, pattern, key string, parse func(string) (T, error), set func(T)) {
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

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// State returns status and counters.
func (s *Server) State() State {
	st := s.Status()
	_, peak := s.Connections()
	records := s.Records()
	places := make([]LogPlace, len(records))
	for i, r := range records {
		places[i] = LogPlace{Term: r.Term, Offset: r.Offset}
	}
	return State{
		Server: st.Server, Role: string(st.Role), Term: st.Term, Promoter: st.Promoter,
		LogTerm: st.Log.Term, LogOffset: st.Log.Offset, Applied: st.Applied.Offset, Lineage: st.Lineage.String(), Leaving: st.Leaving,
		Connections: st.Connections, Peak: peak, Statements: s.Statements(), Log: places,
	}
}
