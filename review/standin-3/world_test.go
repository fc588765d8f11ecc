//go:build review

// Package standin3 plays the platform, the backend servers and the callers for the scripts of
// the third review. It is built as a test binary and starts the instances as processes.
package standin3

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/storer"
	"marigoldhub.example/hub/internal/storer/storertest"
)

const (
	service       = "records"
	heartbeat     = 1200 * time.Millisecond
	promoteDelay  = 300 * time.Millisecond
	handshakeTime = 12 * time.Millisecond
)

// record writes what happens to record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.4f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// position is TERM.NUMBER of a log.
type position struct{ term, number uint64 }

func (p position) String() string {
	if p == (position{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.term, p.number)
}

func (p position) less(o position) bool {
	return p.term < o.term || p.term == o.term && p.number < o.number
}

// commit is a commit in a log.
type commit struct {
	id         string
	item, data string
}

// backend is one backend server.
type backend struct {
	id, addr string
	born     int64
	seq      int64
	draining bool
	down     bool
	role     string
	term     uint64
	paused   uint64
	pos      position
	log      []commit
	listener net.Listener
	conns    map[net.Conn]bool
}

// read returns the newest data of an item in a log.
func read(log []commit, item string) string {
	for i := len(log) - 1; i >= 0; i-- {
		if log[i].item == item {
			return log[i].data
		}
	}
	return ""
}

// arrival is a single statement of a caller, or the first of a transaction, as it reached a
// server.
type arrival struct {
	id, server, sender string
	at                 time.Time
}

// world has the store, the promote call and the servers.
type world struct {
	*record
	store *storertest.Memory
	// storeAddr and cloudAddr are where the instances find the store and the promote call.
	storeAddr, cloudAddr string

	mu       sync.Mutex
	changed  *sync.Cond
	backends []*backend
	arrivals []arrival
	// isSilent is set while servers write no entries.
	isSilent bool
	// outage is closed when the store, which is silent, is back; nil while it answers.
	outage chan struct{}
}

func newWorld(r *record) *world {
	w := &world{record: r, store: storertest.New()}
	w.changed = sync.NewCond(&w.mu)
	w.storeAddr = serveHTTP(w.silenced(w.storeHandler()))
	w.cloudAddr = serveHTTP(http.HandlerFunc(w.promote))
	for i := range 3 {
		b := &backend{id: fmt.Sprintf("i-%04x", 0x7f30+i), role: "replica", term: 1, born: time.Now().Add(-time.Hour).UnixMilli(), conns: map[net.Conn]bool{}}
		if i == 0 {
			b.role = "primary"
		}
		w.backends = append(w.backends, b)
		w.listen(b, "127.0.0.1:0")
	}
	go w.heartbeats()
	return w
}

func serveHTTP(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	go http.Serve(l, h)
	return l.Addr().String()
}

// listen makes the server accept connections.
func (w *world) listen(b *backend, addr string) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		fail(err)
	}
	w.mu.Lock()
	b.listener, b.addr, b.down = l, l.Addr().String(), false
	w.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(b, c)
		}
	}()
}

// stop ends the server's process: its port refuses connections, and those that were open are
// closed.
func (w *world) stop(b *backend) {
	w.mu.Lock()
	b.down = true
	b.listener.Close()
	for c := range b.conns {
		c.Close()
	}
	b.conns = map[net.Conn]bool{}
	w.changed.Broadcast()
	w.mu.Unlock()
	w.add("server %s is stopped", b.id)
}

func (w *world) heartbeats() {
	for {
		w.mu.Lock()
		all, silent := append([]*backend(nil), w.backends...), w.isSilent
		w.mu.Unlock()
		for _, b := range all {
			w.mu.Lock()
			down := b.down || b.listener == nil
			w.mu.Unlock()
			if !down && !silent {
				w.beat(b)
			}
		}
		time.Sleep(heartbeat)
	}
}

// setHeartbeats makes the servers write their entries, or stop to.
func (w *world) setHeartbeats(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isSilent = !on
}

// beat writes the server's entry.
func (w *world) beat(b *backend) {
	w.mu.Lock()
	b.seq++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	value, _ := json.Marshal(map[string]any{
		"service": service, "addr": b.addr, "zone": "z1", "version": "v1", "slots": 3, "state": state,
		"cold_left_ms": 0, "db_role": b.role, "born": b.born, "seq": b.seq,
	})
	w.mu.Unlock()
	w.store.Put("servers/"+b.id, value)
}

// primary returns the primary of the newest term. The caller holds mu.
func (w *world) primary() *backend {
	var lead *backend
	for _, b := range w.backends {
		if !b.down && b.role == "primary" && (lead == nil || b.term > lead.term) {
			lead = b
		}
	}
	return lead
}

// replicate gives the primary's log to the replicas that receive it. The caller holds mu.
func (w *world) replicate(p *backend) (receivers int) {
	for _, b := range w.backends {
		if b == p || b.down || b.role != "replica" || b.term > p.term || b.paused > p.term {
			continue
		}
		b.term, b.pos, b.log = p.term, p.pos, append([]commit(nil), p.log...)
		receivers++
	}
	return receivers
}

// promote is the platform's promote call.
func (w *world) promote(rw http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		http.Error(rw, "bad call", http.StatusBadRequest)
		return
	}
	w.add("promote call: server %s holder %s token %d", body.ID, r.Header.Get("Duty-Holder"), token)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.backends {
		if b.id == body.ID && !b.down {
			time.AfterFunc(promoteDelay, func() { w.lead(b) })
			return
		}
	}
	rw.WriteHeader(http.StatusConflict)
}

// lead makes the server the primary of the next term. The others follow it.
func (w *world) lead(b *backend) {
	w.mu.Lock()
	if b.down || w.primary() == b {
		w.mu.Unlock()
		return
	}
	term := b.pos.term
	for _, o := range w.backends {
		term = max(term, o.term)
	}
	b.role, b.term, b.paused = "primary", term+1, 0
	for _, o := range w.backends {
		if o != b && !o.down {
			o.role, o.paused = "replica", 0
		}
	}
	w.replicate(b)
	all, silent := append([]*backend(nil), w.backends...), w.isSilent
	w.mu.Unlock()
	w.add("server %s leads term %d with %d commits", b.id, term+1, len(b.log))
	for _, o := range all {
		if !o.down && o.listener != nil && !silent {
			w.beat(o)
		}
	}
}

// session is a connection to a server.
type session struct {
	state string
	// hasStatement is set once a caller's statement has run in the transaction.
	hasStatement bool
	writable     bool
	writes       []commit
	prepared     map[string][2]string
}

func (w *world) serve(b *backend, c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "CONNECT" {
		return
	}
	if f[1] != service || len(f) > 3 && f[3] != b.id {
		fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", b.id)
		return
	}
	w.mu.Lock()
	if b.down {
		w.mu.Unlock()
		return
	}
	sender := f[2]
	b.conns[c] = true
	pos := b.pos
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(b.conns, c)
		w.mu.Unlock()
	}()
	time.Sleep(handshakeTime)
	fmt.Fprintf(c, "READY I %s\r\n", pos)
	s := &session{state: "I", prepared: map[string][2]string{}}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if f[0] != "QUERY" || len(f) < 3 {
			return
		}
		if f[1] != "-" {
			w.mu.Lock()
			if s.state == "I" || !s.hasStatement {
				w.arrivals = append(w.arrivals, arrival{f[1], b.id, sender, time.Now()})
			}
			s.hasStatement = true
			w.mu.Unlock()
		}
		answer, ok := w.execute(b, s, f[1], f[2])
		if !ok {
			return
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// execute runs a statement and returns its answer; false if the server has crashed.
func (w *world) execute(b *backend, s *session, id, text string) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	born := b.born
	reply := func(body string) (string, bool) {
		return fmt.Sprintf("%s\r\nREADY %s %s\r\n", body, s.state, b.pos), !b.down && b.born == born
	}
	refuse := func(code string) (string, bool) {
		if s.state == "T" {
			s.state, s.writes = "E", nil
		}
		return reply("ERROR " + code + " " + b.id)
	}
	sign := func() string { return fmt.Sprintf("COMPLETE sig.%s.%s", b.id, id) }
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		at, after, _ := strings.Cut(rest, " ")
		var p position
		fmt.Sscanf(at, "%d.%d", &p.term, &p.number)
		if text = after; b.pos.less(p) {
			return refuse("LAGGING")
		}
	}
	word, rest, _ := strings.Cut(text, " ")
	number, _ := strconv.ParseUint(rest, 10, 64)
	lostLead := s.state == "T" && s.writable && b.role != "primary"
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		p, ok := s.prepared[name]
		if !ok {
			return refuse("NOSTMT")
		}
		word, rest = p[0], arguments
	}
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		switch {
		case word == "PAUSE" && b.role == "replica" && number > b.term:
			b.paused = number
		case word == "RESUME":
			b.paused = 0
		case word == "STEPDOWN" && b.role == "primary" && number > b.term:
			b.role = "replica"
			w.changed.Broadcast()
		}
		if word != "STATUS" {
			w.add("server %s: %s from an instance", b.id, text)
		}
		return reply(fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\nCOMPLETE -", b.role, b.term, b.pos, b.paused, len(b.conns)))
	case "SET", "DEALLOC":
		return reply("COMPLETE -")
	case "RESET":
		clear(s.prepared)
		return reply("COMPLETE -")
	case "PREPARE":
		p := strings.SplitN(rest, " ", 3)
		s.prepared[p[0]] = [2]string{p[1], p[2]}
		return reply("COMPLETE -")
	case "BEGIN":
		if s.writable = rest == ""; s.writable && b.role != "primary" {
			return reply("ERROR READONLY " + b.id)
		}
		s.state, s.writes, s.hasStatement = "T", nil, false
		return reply("COMPLETE -")
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		return reply("COMPLETE -")
	case "FETCH":
		if lostLead {
			return refuse("READONLY")
		}
		data := read(append(append([]commit(nil), b.log...), s.writes...), rest)
		w.add("server %s (start %d, %s, %d commits) runs %s FETCH %s: %q", b.id, b.born, b.role, len(b.log), id, rest, data)
		row := ""
		if data != "" {
			row = "ROW " + data + "\r\n"
		}
		return reply(row + sign())
	case "PUT":
		if b.role != "primary" || s.state == "T" && !s.writable {
			return refuse("READONLY")
		}
		item, data, _ := strings.Cut(rest, " ")
		s.writes = append(s.writes, commit{id, item, data})
		if s.state == "T" {
			return reply(sign())
		}
		return w.commit(b, s, id, reply, sign)
	case "COMMIT":
		if lostLead && len(s.writes) > 0 {
			return refuse("READONLY")
		}
		s.state = "I"
		if len(s.writes) == 0 {
			return reply(sign())
		}
		return w.commit(b, s, id, reply, sign)
	}
	return reply("ERROR MALFORMED x")
}

// commit adds the writes to the log and waits until a replica has received them. The caller
// holds mu.
func (w *world) commit(b *backend, s *session, id string, reply func(string) (string, bool), sign func() string) (string, bool) {
	b.log = append(b.log, s.writes...)
	b.pos = position{b.term, b.pos.number + 1}
	s.writes = nil
	born, term := b.born, b.term
	w.add("server %s (start %d) commits %s at %s", b.id, b.born, id, b.pos)
	for w.replicate(b) == 0 {
		w.changed.Wait()
		if b.down || b.born != born || b.role != "primary" || b.term != term {
			return "", false
		}
	}
	return reply(sign())
}

// setStoreSilent makes the store do nothing and answer nothing, or work again.
func (w *world) setStoreSilent(on bool) {
	w.mu.Lock()
	if on {
		w.outage = make(chan struct{})
	} else {
		close(w.outage)
		w.outage = nil
	}
	w.mu.Unlock()
	w.store.SetDown(on)
}

// silenced answers no call that is there in an outage of the store, and closes its connection
// when the store is back.
func (w *world) silenced(h http.Handler) http.Handler {
	hold := func(r *http.Request) {
		w.mu.Lock()
		outage := w.outage
		w.mu.Unlock()
		if outage == nil {
			return
		}
		select {
		case <-outage:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		hold(r)
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, r)
		hold(r)
		maps.Copy(rw.Header(), answer.Header())
		rw.WriteHeader(answer.Code)
		rw.Write(answer.Body.Bytes())
	})
}

// storeHandler serves the platform's store.
func (w *world) storeHandler() http.Handler {
	mux := http.NewServeMux()
	reply := func(rw http.ResponseWriter, err error, body any) {
		rw.Header().Set("Store-Era", strconv.FormatInt(w.store.Epoch(), 10))
		switch {
		case err == nil:
			json.NewEncoder(rw).Encode(body)
		case errors.Is(err, storer.ErrLeaseNotFound):
			rw.WriteHeader(http.StatusNotFound)
		default:
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	item := func(e storer.Entry) map[string]any {
		return map[string]any{"key": e.Key, "value": base64.StdEncoding.EncodeToString(e.Value), "revision": e.ModRevision, "created": e.CreateRevision, "lease": e.Lease}
	}
	mux.HandleFunc("GET /api/kv-key", func(rw http.ResponseWriter, r *http.Request) {
		e, ok, err := w.store.Get(r.Context(), r.URL.Query().Get("key"))
		if err == nil && !ok {
			err = storer.ErrLeaseNotFound
		}
		reply(rw, err, item(e))
	})
	mux.HandleFunc("GET /api/kv-range", func(rw http.ResponseWriter, r *http.Request) {
		entries, revision, err := w.store.List(r.Context(), r.URL.Query().Get("prefix"))
		items := []any{}
		for _, e := range entries {
			if e.Key > r.URL.Query().Get("after") {
				items = append(items, item(e))
			}
		}
		reply(rw, err, map[string]any{"items": items, "truncated": false, "store_revision": revision})
	})
	mux.HandleFunc("GET /api/kv-watch", func(rw http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		watch, err := w.store.Watch(r.Context(), r.URL.Query().Get("prefix"), after+1)
		if err != nil {
			reply(rw, err, nil)
			return
		}
		defer watch.Close()
		events, revision := []any{}, after
		select {
		case b, ok := <-watch.Batches():
			if !ok {
				rw.Header().Set("Store-Era", strconv.FormatInt(w.store.Epoch(), 10))
				rw.WriteHeader(http.StatusGone)
				return
			}
			for _, c := range b.Changes {
				e := item(c.Entry)
				if c.Deleted {
					e = map[string]any{"key": c.Entry.Key, "revision": c.Entry.ModRevision, "tombstone": true}
				}
				events = append(events, e)
			}
			revision = b.Revision
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		reply(rw, nil, map[string]any{"events": events, "store_revision": revision})
	})
	mux.HandleFunc("POST /api/kv-lease", func(rw http.ResponseWriter, r *http.Request) {
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		json.NewDecoder(r.Body).Decode(&body)
		id, err := w.store.GrantLease(r.Context(), time.Duration(body.TTL)*time.Millisecond)
		reply(rw, err, map[string]any{"lease": id, "ttl_ms": body.TTL})
	})
	mux.HandleFunc("POST /api/kv-keep/{id}", func(rw http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		ttl, err := w.store.KeepAlive(r.Context(), id)
		reply(rw, err, map[string]any{"ttl_ms": ttl.Milliseconds()})
	})
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", func(rw http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		reply(rw, w.store.Revoke(r.Context(), id), map[string]any{})
	})
	mux.HandleFunc("POST /api/kv-txn", func(rw http.ResponseWriter, r *http.Request) {
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
		json.NewDecoder(r.Body).Decode(&body)
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
			rw.Header().Set("Store-Era", strconv.FormatInt(w.store.Epoch(), 10))
			rw.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		reply(rw, err, map[string]any{"revision": result.Revision})
	})
	return mux
}
