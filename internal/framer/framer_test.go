package framer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"

	"marigoldhub.example/hub/internal/budgeter"
)

// recordedMessages notes the messages that a reader is told of.
type recordedMessages struct {
	begun, ended []string
	waitsFor     byte
}

func (m *recordedMessages) mustWait(kind byte, _ int64) bool { return kind == m.waitsFor }
func (m *recordedMessages) end(kind byte)                    { m.ended = append(m.ended, string(kind)) }

func (m *recordedMessages) begin(kind byte, length int64) error {
	m.begun = append(m.begun, fmt.Sprint(string(kind), length))
	return nil
}

func encode(t *testing.T, msgs ...pgproto3.FrontendMessage) []byte {
	t.Helper()
	var b []byte
	for _, m := range msgs {
		var err error
		if b, err = m.Encode(b); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// Guards against bytes that are lost or reordered, and message boundaries that are missed,
// however the bytes arrive.
func TestReaderFollowsMessages(t *testing.T) {
	stream := encode(t,
		&pgproto3.SSLRequest{}, &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "x"}},
		&pgproto3.Query{String: "select 1"}, &pgproto3.Sync{}, &pgproto3.Parse{Query: strings.Repeat("x", 3000)}, &pgproto3.Sync{})
	begun := []string{"\x008", "\x0016", "Q14", "S5", "P3009", "S5"}
	cases := []struct {
		name   string
		source func(io.Reader) io.Reader
	}{
		{"at once", func(r io.Reader) io.Reader { return r }},
		{"halves", iotest.HalfReader},
		{"byte by byte", iotest.OneByteReader},
	}
	for _, c := range cases {
		for _, waitsFor := range []byte{0, 'P', 'S', 'Q'} {
			t.Run(fmt.Sprintf("%s/%q waits", c.name, waitsFor), func(t *testing.T) {
				m := &recordedMessages{waitsFor: waitsFor}
				r := &Reader{r: c.source(bytes.NewReader(stream)), accountant: m, startup: true}
				got, err := io.ReadAll(r)
				if err != nil || !bytes.Equal(got, stream) {
					t.Errorf("%d of %d bytes, %v", len(got), len(stream), err)
				}
				if !slices.Equal(m.begun, begun) || len(m.ended) != len(begun) {
					t.Errorf("begun %q, want %q; ended %q", m.begun, begun, m.ended)
				}
			})
		}
	}
}

func newTestBudget(bytes int64) *budgeter.Budget {
	log, _ := test.NewNullLogger()
	registry := metrics.NewRegistry()
	return budgeter.New(budgeter.Config{
		Bytes: bytes, Floor: 1 << 10, Clock: clockwork.NewRealClock(), Metrics: registry, Refusals: budgeter.NewRefusals(registry, log),
	})
}

// Guards against a large message that is read while a batch before it holds memory, and
// against memory that is not returned.
func TestInboundWaitsForTheBatchBefore(t *testing.T) {
	server, caller := net.Pipe()
	defer server.Close()
	in := NewInbound(server, newTestBudget(64<<10))
	in.startup = false
	in.Start(1 << 20)
	large := encode(t, &pgproto3.Query{String: strings.Repeat("x", 8<<10)})
	go caller.Write(slices.Concat(large, large))
	backend := pgproto3.NewBackend(in, server)
	if _, err := backend.Receive(); err != nil {
		t.Fatal(err)
	}
	second := make(chan error, 1)
	go func() {
		_, err := backend.Receive()
		second <- err
	}()
	select {
	case err := <-second:
		t.Fatalf("the second message was read beside the first: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	in.Done()
	if err := <-second; err != nil {
		t.Fatal(err)
	}
	in.Done()
	in.Close()
	if used := in.budget.Used(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
}

// Guards against batches that arrive with the password and are not counted: the end of one
// would return the memory of a later batch that still runs.
func TestBatchesWithThePasswordCount(t *testing.T) {
	server, caller := net.Pipe()
	defer server.Close()
	in := NewInbound(server, newTestBudget(96<<10))
	in.startup = false
	small := &pgproto3.Query{String: "select 1"}
	go func() {
		caller.Write(encode(t, &pgproto3.PasswordMessage{Password: "x"}, small, small))
		caller.Write(encode(t, &pgproto3.Query{String: strings.Repeat("x", 8<<10)}))
	}()
	backend := pgproto3.NewBackend(in, server)
	if err := backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		t.Fatal(err)
	}
	if _, err := backend.Receive(); err != nil {
		t.Fatal(err)
	}
	in.Start(1 << 20)
	for range 2 {
		if _, err := backend.Receive(); err != nil {
			t.Fatal(err)
		}
	}
	large := make(chan error, 1)
	go func() {
		_, err := backend.Receive()
		large <- err
	}()
	for range 2 {
		select {
		case err := <-large:
			t.Fatalf("the large batch was read beside those before it: %v", err)
		case <-time.After(50 * time.Millisecond):
		}
		in.Done()
	}
	if err := <-large; err != nil {
		t.Fatal(err)
	}
	if used := in.budget.Used(); used == 0 {
		t.Error("the memory of the batch that runs was returned")
	}
	in.Done()
	in.Close()
	if used := in.budget.Used(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
}

// Guards against an answer larger than the whole budget that is read.
func TestAnswersRefuseWhatNeverFits(t *testing.T) {
	row, err := (&pgproto3.DataRow{Values: [][]byte{make([]byte, 64<<10)}}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	budget := newTestBudget(96 << 10)
	a := NewAnswers(bytes.NewReader(row), budget)
	if _, err := io.ReadAll(a); !errors.Is(err, budgeter.ErrExhausted) {
		t.Errorf("error %v, want %v", err, budgeter.ErrExhausted)
	}
	a.Close()
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
}

// chunkConn delivers one chunk a read and records the last deadline.
type chunkConn struct {
	net.Conn
	chunks   [][]byte
	deadline time.Time
}

func (c *chunkConn) Read(p []byte) (int, error) {
	if len(c.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.chunks[0])
	c.chunks = c.chunks[1:]
	return n, nil
}

func (c *chunkConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// Guards against a caller that sends many short batches ahead and is cut off as a slow one,
// because the time in which its batches run counts toward a message that was received in part.
func TestTimeOfBatchesDoesNotCount(t *testing.T) {
	const pause = 300 * time.Millisecond
	sync := encode(t, &pgproto3.Sync{})
	c := &chunkConn{chunks: [][]byte{slices.Concat(sync, sync[:3]), slices.Concat(sync[3:], sync[:3]), slices.Concat(sync[3:], sync[:3]), sync[3:]}}
	in := NewInbound(c, newTestBudget(64<<10))
	in.startup = false
	in.Start(1 << 10)
	for range len(c.chunks) {
		if _, err := in.Read(make([]byte, 64)); err != nil {
			t.Fatal(err)
		}
		if left := time.Until(c.deadline); !c.deadline.IsZero() && left < messageGrace-pause/2 {
			t.Errorf("a message that was received in part has %v left, want about %v", left, messageGrace)
		}
		in.Done()
		time.Sleep(pause)
	}
}

// Guards against a batch that is ended by the budget while it runs: one that reserves memory
// only for its answer.
func TestRunningBatchKeepsItsMemory(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	log, _ := test.NewNullLogger()
	clock := clockwork.NewFakeClock()
	budget := budgeter.New(budgeter.Config{Bytes: 100 << 10, Floor: 16 << 10, Clock: clock, Metrics: metrics.NewRegistry(), Refusals: budgeter.NewRefusals(metrics.NewRegistry(), log)})
	in := NewInbound(server, budget)
	in.startup = false
	in.Start(1 << 10)
	go client.Write(encode(t, &pgproto3.Query{String: "x"}))
	for in.complete == 0 {
		if _, err := in.Read(make([]byte, 64)); err != nil {
			t.Fatal(err)
		}
	}
	if err := in.ReserveOutput(90 << 10); err != nil {
		t.Fatal(err)
	}
	clock.Advance(time.Hour)
	other := budget.NewAccount(func() {})
	done := make(chan error, 1)
	go func() { done <- other.Reserve(60 << 10) }()
	_ = client.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection of a running batch was closed: %v", err)
	}
	in.Done()
	if err := <-done; err != nil {
		t.Errorf("the other account got no memory after the batch: %v", err)
	}
}
