package relayer_test

import (
	"fmt"
	"net"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/tracker"
)

// store is the content of one database group. All fake servers of a test share
// it, except those that are cut off from the group.
type store struct {
	mu   sync.Mutex
	rows map[string]string
	keys map[string]string
	log  tracker.Position
}

func newStore() *store {
	return &store{rows: make(map[string]string), keys: make(map[string]string), log: tracker.Position{Term: 1, Offset: 1}}
}

func (st *store) end() tracker.Position {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.log
}

func (st *store) row(key string) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.rows[key]
}

// fakeServer answers, over the wire protocol, the few statements that the tests
// need. The hook is called with "before" before a statement runs, and with
// "after" when it took effect and is not answered yet; if it returns false, the
// connection is closed.
type fakeServer struct {
	name     string
	listener net.Listener
	st       *store
	// appliesLate is set when the last record is stored but not yet applied.
	appliesLate atomic.Bool

	mu      sync.Mutex
	role    tracker.Role
	hook    func(when, sql string) bool
	sqlSeen []string
	cancels chan struct{}
	conns   int
	// notices is the number of notices that were sent for a statement that asks for them.
	notices atomic.Int64
}

func newFakeServer(t testing.TB, name string, role tracker.Role, st *store) *fakeServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeServer{name: name, listener: l, st: st, role: role, cancels: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	return f
}

func (f *fakeServer) setHook(h func(when, sql string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = h
}

func (f *fakeServer) setRole(r tracker.Role) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.role = r
}

func (f *fakeServer) call(when, sql string) bool {
	f.mu.Lock()
	h := f.hook
	if when == "before" {
		f.sqlSeen = append(f.sqlSeen, sql)
	}
	f.mu.Unlock()
	return h == nil || h(when, sql)
}

func (f *fakeServer) count(part string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, sql := range f.sqlSeen {
		if strings.Contains(sql, part) {
			n++
		}
	}
	return n
}

// A statement with "notices" in it raises manyNotices notices of noticeSize bytes, more than the
// buffers of the sockets hold.
const manyNotices, noticeSize = 64 << 10, 1 << 10

// fakeBackend is one connection of a fake server.
type fakeBackend struct {
	f       *fakeServer
	be      *pgproto3.Backend
	status  byte
	pending []func()
	stmts   map[string]string
	portal  string
	failed  bool // skip to Sync
}

func (f *fakeServer) serve(c net.Conn) {
	defer c.Close()
	b := &fakeBackend{f: f, be: pgproto3.NewBackend(c, c), status: 'I', stmts: make(map[string]string)}
	f.mu.Lock()
	f.conns++
	f.mu.Unlock()
	for {
		msg, err := b.be.Receive()
		if err != nil || !b.handle(msg) {
			return
		}
	}
}

func (b *fakeBackend) handle(msg pgproto3.FrontendMessage) bool {
	if _, sync := msg.(*pgproto3.Sync); b.failed && !sync {
		return true
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		for _, sql := range strings.Split(m.String, ";") {
			if sql = strings.TrimSpace(sql); sql == "" {
				continue
			}
			if !b.exec(sql, true) {
				return false
			}
			if b.failed {
				break
			}
		}
		b.failed = false
		b.ready()
	case *pgproto3.Parse:
		if _, exists := b.stmts[m.Name]; exists && m.Name != "" {
			b.fail("42P05", "prepared statement \""+m.Name+"\" already exists")
			return true
		}
		b.stmts[m.Name] = m.Query
		b.be.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := b.stmts[m.PreparedStatement]
		if !ok {
			b.fail("26000", "prepared statement \""+m.PreparedStatement+"\" does not exist")
			return true
		}
		for i, p := range m.Parameters {
			sql = strings.ReplaceAll(sql, fmt.Sprintf("$%d", i+1), "'"+string(p)+"'")
		}
		b.portal = sql
		b.be.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		sql := b.portal
		if m.ObjectType == 'S' {
			sql = b.stmts[m.Name]
			n := strings.Count(sql, "$")
			b.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: []uint32{25, 25, 25}[:n]})
		}
		if strings.HasPrefix(strings.ToLower(sql), "select") {
			b.be.Send(textRow("v"))
		} else {
			b.be.Send(&pgproto3.NoData{})
		}
	case *pgproto3.Execute:
		return b.exec(b.portal, false)
	case *pgproto3.Flush:
		return b.be.Flush() == nil
	case *pgproto3.Sync:
		b.failed = false
		b.ready()
	case *pgproto3.Terminate:
		return false
	}
	return true
}

func textRow(names ...string) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for _, n := range names {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(n), DataTypeOID: 25, DataTypeSize: -1})
	}
	return d
}

func (b *fakeBackend) ready() {
	if b.status == 'I' && len(b.pending) > 0 {
		b.commit()
	}
	b.be.Send(&pgproto3.ReadyForQuery{TxStatus: b.status})
	_ = b.be.Flush()
}

func (b *fakeBackend) fail(code, message string) {
	b.failed = true
	if b.status == 'T' {
		b.status = 'E'
	} else if b.status == 'I' {
		b.pending = nil
	}
	b.be.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
}

func (b *fakeBackend) commit() {
	st := b.f.st
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, do := range b.pending {
		do()
	}
	if len(b.pending) > 0 {
		st.log.Offset++
	}
	b.pending = nil
}

var (
	insertRow    = regexp.MustCompile(`(?i)^insert into kv values \('([^']*)', ?'([^']*)'\)`)
	insertKey    = regexp.MustCompile(`(?i)^insert into marigold_request .*values \('([^']*)', '([^']*)'`)
	selectKeySQL = regexp.MustCompile(`(?i)^select outcome from marigold_request where request_key = '([^']*)'`)
	selectRow    = regexp.MustCompile(`(?i)^select v from kv where k ?= ?'([^']*)'`)
)

// exec runs one statement and reports whether the connection stays open.
func (b *fakeBackend) exec(sql string, describe bool) bool {
	lower := strings.ToLower(sql)
	if !b.f.call("before", sql) {
		return false
	}
	if b.status == 'E' && lower != "rollback" && lower != "commit" {
		b.fail("25P02", "current transaction is aborted")
		return true
	}
	b.f.mu.Lock()
	role := b.f.role
	b.f.mu.Unlock()
	if (strings.HasPrefix(lower, "insert") || strings.HasPrefix(lower, "call")) && role != tracker.RolePrimary {
		b.fail("25006", "cannot execute INSERT in a read-only transaction")
		return true
	}
	tag, columns, rows := "SELECT 0", []string{"v"}, [][]string(nil)
	switch {
	case lower == "begin":
		tag, columns, b.status = "BEGIN", nil, 'T'
	case lower == "rollback" || (lower == "commit" && b.status == 'E'):
		tag, columns, b.status, b.pending = "ROLLBACK", nil, 'I', nil
	case lower == "commit":
		tag, columns, b.status = "COMMIT", nil, 'I'
		b.commit()
	case strings.HasPrefix(lower, "set "):
		tag, columns = "SET", nil
	case strings.Contains(lower, "marigold_group_status"):
		columns, rows = b.statusRow(role)
	case insertRow.MatchString(sql):
		m := insertRow.FindStringSubmatch(sql)
		b.pending = append(b.pending, func() { b.f.st.rows[m[1]] = m[2] })
		tag, columns = "INSERT 0 1", nil
		if b.status == 'I' && describe {
			b.commit()
		}
	case insertKey.MatchString(sql):
		m := insertKey.FindStringSubmatch(sql)
		b.f.st.mu.Lock()
		_, exists := b.f.st.keys[m[1]]
		b.f.st.mu.Unlock()
		if exists {
			b.fail("23505", "duplicate key value violates unique constraint")
			return true
		}
		b.pending = append(b.pending, func() { b.f.st.keys[m[1]] = m[2] })
		tag, columns = "INSERT 0 1", nil
		if b.status == 'I' && describe {
			b.commit()
		}
	case selectKeySQL.MatchString(sql):
		b.f.st.mu.Lock()
		rows = [][]string{{b.f.st.keys[selectKeySQL.FindStringSubmatch(sql)[1]]}}
		b.f.st.mu.Unlock()
	case selectRow.MatchString(sql):
		rows = [][]string{{b.f.st.row(selectRow.FindStringSubmatch(sql)[1])}}
	case strings.Contains(lower, "pg_sleep"):
		select {
		case <-b.f.cancels:
			b.fail("57014", "canceling statement due to user request")
			return true
		case <-time.After(10 * time.Second):
		}
	case strings.Contains(lower, "1/0"):
		b.fail("22012", "division by zero")
		return true
	case strings.Contains(lower, "notices"):
		for range manyNotices {
			b.be.Send(&pgproto3.NoticeResponse{Severity: "NOTICE", Code: "00000", Message: strings.Repeat("x", noticeSize)})
			if b.be.Flush() != nil {
				return false
			}
			b.f.notices.Add(1)
		}
	case strings.Contains(lower, "big"):
		for range 4000 {
			rows = append(rows, []string{strings.Repeat("x", 100)})
		}
	}
	if !b.f.call("after", sql) {
		_ = b.be.Flush()
		return false
	}
	if describe && columns != nil {
		b.be.Send(textRow(columns...))
	}
	for _, r := range rows {
		values := make([][]byte, len(r))
		for i, v := range r {
			values[i] = []byte(v)
		}
		b.be.Send(&pgproto3.DataRow{Values: values})
	}
	if rows != nil {
		tag = fmt.Sprintf("SELECT %d", len(rows))
	}
	b.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return true
}

func (b *fakeBackend) statusRow(role tracker.Role) ([]string, [][]string) {
	p := b.f.st.end()
	applied := p.Offset
	if b.f.appliesLate.Load() {
		applied--
	}
	columns := []string{
		"server", "role", "term", "promoter", "log_term", "log_offset", "lineage", "leaving", "connections", "applied_offset",
	}
	row := []string{
		b.f.name, string(role), fmt.Sprint(p.Term), "x", fmt.Sprint(p.Term), fmt.Sprint(p.Offset), "1:0", "f", "1",
		fmt.Sprint(applied),
	}
	return columns, [][]string{row}
}
