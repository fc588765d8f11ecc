//go:build review

package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/exchanger/exchangertest"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	// serverSlots is how many statements a server runs at a time, and maxConns how many
	// connections it accepts.
	serverSlots = 3
	maxConns    = 41
	// workTime is how long a statement takes, handshakeTime a new connection.
	workTime      = 6 * time.Millisecond
	handshakeTime = 12 * time.Millisecond
)

// server is one database server: the line protocol in front of a server of the cluster.
type server struct {
	w        *world
	id, zone string
	l        net.Listener
	slots    chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]bool
	// ran counts the statements of clients by the node that sent them.
	ran  map[string]int
	down bool
	// busy makes the server answer BUSY. cutOff are the nodes that are cut off from it.
	busy   bool
	cutOff map[string]bool
	seq    int
}

// startServer serves a server of the cluster at an address of its own.
func (w *world) startServer(id, zone string) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &server{w: w, id: id, zone: zone, l: l, slots: make(chan struct{}, serverSlots), conns: map[net.Conn]bool{}, ran: map[string]int{}}
	w.servers[id] = s
	w.closers = append(w.closers, func() { l.Close() })
	w.writeEntry(id)
	go s.accept()
	return nil
}

// writeEntry writes the entry of a server that runs.
func (w *world) writeEntry(id string) {
	s := w.servers[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	for _, srv := range w.Servers() {
		if srv.ID == id {
			s.seq++
			w.store.Put("servers/"+id, fmt.Appendf(nil, `{"service":%q,"addr":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_left_ms":0,"db_role":%q,"born":%d,"seq":%d}`,
				exchangertest.Service, s.l.Addr(), s.zone, serverSlots, srv.Role, srv.Born, s.seq))
		}
	}
}

func (s *server) accept() {
	for {
		conn, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.down {
			reset(conn)
			s.mu.Unlock()
			continue
		}
		s.conns[conn] = true
		full := len(s.conns) > maxConns
		s.mu.Unlock()
		go func() {
			s.serve(conn, full)
			conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// crash ends the server's process: its connections are reset and new ones are refused.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	for conn := range s.conns {
		reset(conn)
	}
}

// comeBack lets the server accept connections again, after it has written its entry.
func (s *server) comeBack() {
	s.mu.Lock()
	s.down = false
	s.mu.Unlock()
	s.w.writeEntry(s.id)
}

func (s *server) serve(conn net.Conn, full bool) {
	r := bufio.NewReaderSize(conn, 64<<10)
	line, err := r.ReadString('\n')
	f := strings.Fields(line)
	switch {
	case err != nil || len(f) < 3 || f[0] != "CONNECT":
		return
	case full:
		fmt.Fprintf(conn, "ERROR MAXCONN %s\r\n", s.id)
		return
	case f[1] != exchangertest.Service || len(f) > 3 && f[3] != s.id:
		fmt.Fprintf(conn, "ERROR WRONGNODE %s\r\n", s.id)
		return
	}
	backend, err := s.w.Dial(exchanger.Target{ServerID: s.id}, time.Time{})
	if err != nil {
		return
	}
	s.awaitPath(f[2])
	s.work(handshakeTime)
	fmt.Fprintf(conn, "READY I %s\r\n", formatPosition(s.w.Log(s.id)))
	names := map[string]exchanger.Kind{}
	state := exchanger.Idle
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		st, err := parseLine(strings.TrimSuffix(line, "\r\n"), names)
		if err != nil {
			s.w.rec.note("server %s cannot read %q", s.id, line)
			return
		}
		s.awaitPath(f[2])
		if s.isBusy() {
			fmt.Fprintf(conn, "ERROR BUSY %s\r\nREADY %s %s\r\n", s.id, stateWords[state], formatPosition(s.w.Log(s.id)))
			continue
		}
		if st.ID != "-" {
			s.mu.Lock()
			s.ran[f[2]]++
			s.mu.Unlock()
		}
		if st.Kind == exchanger.Read || st.Kind == exchanger.Write || st.Kind == exchanger.Commit {
			s.work(workTime)
		}
		answers, err := backend.Exchange(time.Time{}, st)
		if err != nil && (st.Kind == exchanger.Write || st.Kind == exchanger.Commit) {
			// No replica has received the commit yet.
			answers, err = s.awaitReplica(st.ID)
		}
		if err != nil {
			return
		}
		state = answers[0].State
		s.awaitPath(f[2])
		if err := writeAnswer(conn, st, answers[0]); err != nil {
			return
		}
	}
}

// errNoReplica ends the connection of a commit that no replica has received while the server
// led.
var errNoReplica = errors.New("no replica has received the commit")

// awaitReplica waits until a replica has received the commit, and returns the answer to it.
func (s *server) awaitReplica(id string) ([]exchanger.Answer, error) {
	for s.leads() {
		if holders := s.w.Holders(id); slices.Contains(holders, s.id) && len(holders) > 1 {
			return []exchanger.Answer{{Signature: s.id, Position: s.w.Log(s.id)}}, nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return nil, errNoReplica
}

// leads reports whether the server runs and is a primary.
func (s *server) leads() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	return slices.ContainsFunc(s.w.Servers(), func(srv informer.Server) bool { return srv.ID == s.id && srv.Role == exchanger.Primary })
}

func (s *server) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// setBusy makes the server answer BUSY to everything, or not any more.
func (s *server) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

// cut cuts the nodes off the server. Bytes on their way arrive when the cut ends.
func (s *server) cut(nodes map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff = nodes
}

// awaitPath waits while the node is cut off the server.
func (s *server) awaitPath(node string) {
	for {
		s.mu.Lock()
		isCut := s.cutOff[node]
		s.mu.Unlock()
		if !isCut {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// scheduler returns the node that has sent most statements of clients.
func (s *server) scheduler() (node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for user, count := range s.ran {
		if count > s.ran[node] {
			node = user
		}
	}
	clear(s.ran)
	return node
}

// work occupies a slot for the time.
func (s *server) work(d time.Duration) {
	s.slots <- struct{}{}
	time.Sleep(d)
	<-s.slots
}

// parseLine reads a QUERY message. names has the kinds of the prepared statements.
func parseLine(line string, names map[string]exchanger.Kind) (exchanger.Statement, error) {
	f := strings.SplitN(line, " ", 3)
	if len(f) < 3 || f[0] != "QUERY" {
		return exchanger.Statement{}, fmt.Errorf("no query")
	}
	s := exchanger.Statement{ID: f[1], Text: f[2]}
	text := f[2]
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		position, after, _ := strings.Cut(rest, " ")
		fmt.Sscanf(position, "%d.%d", &s.MinPosition.Term, &s.MinPosition.Offset)
		text = after
	}
	words := strings.Fields(text)
	word := func(i int) string {
		if i < len(words) {
			return words[i]
		}
		return ""
	}
	s.Term, _ = strconv.ParseUint(word(1), 10, 64)
	switch word(0) {
	case "BEGIN":
		s.Kind = exchanger.Begin
		if word(1) == "FETCH" {
			s.Kind = exchanger.BeginReadOnly
		}
	case "COMMIT":
		s.Kind = exchanger.Commit
	case "ROLLBACK":
		s.Kind = exchanger.Rollback
	case "FETCH":
		s.Kind = exchanger.Read
	case "PUT":
		s.Kind = exchanger.Write
	case "PREPARE":
		s.Kind, names[word(1)] = exchanger.Prepare, exchanger.Read
		if word(2) == "PUT" {
			names[word(1)] = exchanger.Write
		}
	case "EXECUTE":
		s.Kind = names[word(1)]
	case "SET":
		s.Kind = exchanger.Set
	case "RESET":
		s.Kind = exchanger.Reset
	case "STATUS":
		s.Kind = exchanger.Status
	case "RESUME":
		s.Kind = exchanger.Resume
	case "PAUSE":
		s.Kind = exchanger.Pause
	case "STEPDOWN":
		s.Kind = exchanger.StepDown
	default:
		return s, fmt.Errorf("no statement")
	}
	return s, nil
}

var (
	codeWords  = map[exchanger.Code]string{exchanger.Busy: "BUSY", exchanger.Behind: "LAGGING", exchanger.ReadOnly: "READONLY", exchanger.Failed: "FAILED"}
	stateWords = map[exchanger.State]string{exchanger.Idle: "I", exchanger.InTransaction: "T", exchanger.FailedTransaction: "E"}
)

func writeAnswer(w io.Writer, st exchanger.Statement, a exchanger.Answer) error {
	var b strings.Builder
	switch {
	case a.Report != nil:
		r := a.Report
		fmt.Fprintf(&b, "ROW %s %d %s %d %d %d %d\r\n", r.Role, r.Term, formatPosition(r.Received), r.PausedTerm, r.Lag.Milliseconds(), r.BusySlots, r.Connections)
	case st.Kind == exchanger.Read && a.OK():
		fmt.Fprintf(&b, "ROW row-%s\r\n", st.ID)
	}
	if a.OK() {
		fmt.Fprintf(&b, "COMPLETE %s.%s\r\n", a.Signature, st.ID)
	} else {
		fmt.Fprintf(&b, "ERROR %s %s\r\n", codeWords[a.Code], a.Signature)
	}
	fmt.Fprintf(&b, "READY %s %s\r\n", stateWords[a.State], formatPosition(a.Position))
	_, err := io.WriteString(w, b.String())
	return err
}

func formatPosition(p tracker.Position) string {
	if p.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.Term, p.Offset)
}
