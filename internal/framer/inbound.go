package framer

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"marigoldhub.example/hub/internal/budgeter"
)

const (
	// messageCopies is how often a message is in memory while it is read, classified and
	// sent to a server: the buffer, which is rounded up to a power of two, the decoded
	// text, the parser's copy, and the output buffer, which grows by doubling.
	messageCopies = 6
	// messageOverhead is added to the length of each message for its decoded form.
	messageOverhead = 64
	// messageGrace is how long the beginning of a message may take, and minMessageRate
	// how many bytes of it must arrive in each further second.
	messageGrace   = 10 * time.Second
	minMessageRate = 8 << 10
)

// Inbound reads the messages of a caller. A batch, which is what the relayer runs at once,
// reserves memory until [Inbound.Done]; further messages that need memory wait for that. A
// session that holds much memory while others wait for it is closed, unless its batch runs.
//
// While a batch runs, the account belongs to the goroutine that runs it, otherwise to the
// one that reads.
type Inbound struct {
	Reader
	conn    net.Conn
	budget  *budgeter.Budget
	account *budgeter.Account
	// limit is the largest message; longer ones are refused by the reader's user.
	limit int64
	// started is set when the caller is authenticated; the messages before are short.
	started atomic.Bool
	// batch is the memory of the batch that is being received, and large is set while a
	// message that has reserved memory is received.
	batch int64
	large bool
	// received is what has arrived since the present message began, and waited how long
	// the connection was read for it. The time in which batches run does not count.
	received      int64
	waited        time.Duration
	deadlineIsSet bool
	// reserved is the memory of the batch that was received first.
	reserved int64
	// interrupted is closed by Interrupt.
	interrupted chan struct{}

	mu sync.Mutex
	// complete counts the batches that have been received and not finished; idle is
	// closed when there are none.
	complete int
	idle     chan struct{}
}

// NewInbound returns a reader of the connection, whose first message is a startup packet.
// Without a budget nothing is limited.
func NewInbound(conn net.Conn, budget *budgeter.Budget) *Inbound {
	in := &Inbound{conn: conn, budget: budget, interrupted: make(chan struct{})}
	in.Reader = Reader{r: timedConn{in}, accountant: in, startup: true}
	if budget != nil {
		in.account = budget.NewAccount(func() { _ = conn.Close() })
	}
	return in
}

// Start begins to account for messages. It is called after authentication. Batches that have
// arrived together with the password count as received.
func (in *Inbound) Start(limit int) {
	if in == nil || in.account == nil {
		return
	}
	in.limit = int64(limit)
	in.started.Store(true)
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.complete > 0 {
		in.account.SetRunning(true)
	}
}

// Read implements [io.Reader].
func (in *Inbound) Read(p []byte) (int, error) {
	if !in.started.Load() {
		return in.Reader.Read(p)
	}
	n, err := in.Reader.Read(p)
	if in.large {
		in.account.Progress(int64(n))
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		in.budget.Refusals().Add(budgeter.SlowMessage)
	}
	return n, err
}

// timedConn reads from the connection and counts the time that this takes.
type timedConn struct{ *Inbound }

// Read implements [io.Reader].
func (c timedConn) Read(p []byte) (int, error) {
	if !c.started.Load() {
		return c.conn.Read(p)
	}
	began := time.Now()
	c.setDeadline(began)
	n, err := c.conn.Read(p)
	c.received += int64(n)
	c.waited += time.Since(began)
	return n, err
}

// setDeadline sets until when more of a message must have arrived.
func (in *Inbound) setDeadline(now time.Time) {
	if in.inMessage() {
		allowed := messageGrace + time.Duration(in.received)*time.Second/minMessageRate
		_ = in.conn.SetReadDeadline(now.Add(allowed - in.waited))
		in.deadlineIsSet = true
		return
	}
	if in.deadlineIsSet {
		_ = in.conn.SetReadDeadline(time.Time{})
	}
	in.deadlineIsSet, in.received, in.waited = false, 0, 0
}

// memory returns what the batch takes with a further message.
func (in *Inbound) memory(length int64) int64 {
	return in.batch + (length+messageOverhead)*messageCopies
}

// mustWait implements accountant.
func (in *Inbound) mustWait(_ byte, length int64) bool {
	return in.started.Load() && length <= in.limit+headerBytes && in.memory(length) > in.budget.Floor()
}

// begin implements accountant.
func (in *Inbound) begin(kind byte, length int64) error {
	in.received, in.waited = 0, 0
	if !in.started.Load() || length > in.limit+headerBytes {
		return nil
	}
	memory := in.memory(length)
	if !keepsNothing(kind) {
		in.batch = memory
	}
	if memory <= in.budget.Floor() {
		return nil
	}
	if !in.awaitIdle() {
		return net.ErrClosed
	}
	if err := in.account.Reserve(memory); err != nil {
		return err
	}
	in.large, in.reserved = true, memory
	return nil
}

// end implements accountant.
func (in *Inbound) end(kind byte) {
	in.large = false
	if in.account == nil || !endsBatch(kind) {
		return
	}
	in.batch = 0
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.complete++; in.complete == 1 {
		in.idle = make(chan struct{})
		if in.started.Load() {
			in.account.SetRunning(true)
		}
	}
}

// keepsNothing reports whether the relayer drops messages of the type, which are left over
// from a refused COPY.
func keepsNothing(kind byte) bool { return kind == 'd' || kind == 'c' || kind == 'f' }

// endsBatch reports whether a message of the type ends a batch: Query, Sync, Flush and
// FunctionCall.
func endsBatch(kind byte) bool { return kind == 'Q' || kind == 'S' || kind == 'H' || kind == 'F' }

// awaitIdle waits until no complete batch is left; false after Interrupt.
func (in *Inbound) awaitIdle() bool {
	in.mu.Lock()
	idle := in.idle
	in.mu.Unlock()
	if idle == nil {
		return true
	}
	select {
	case <-idle:
		return true
	case <-in.interrupted:
		return false
	}
}

// Interrupt ends a wait for the end of a batch. It is called once.
func (in *Inbound) Interrupt() {
	if in != nil {
		close(in.interrupted)
	}
}

// Done returns the memory of the batch that was received first.
func (in *Inbound) Done() {
	if in == nil || !in.started.Load() {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.complete == 0 {
		return
	}
	in.reserved = 0
	in.account.Reserve(0)
	if in.complete--; in.complete == 0 {
		in.account.SetRunning(false)
		close(in.idle)
		in.idle = nil
	}
}

// whileRunning calls f with the account if a batch runs.
func (in *Inbound) whileRunning(f func(*budgeter.Account) error) error {
	if in == nil || !in.started.Load() {
		return nil
	}
	in.mu.Lock()
	runs := in.complete > 0
	in.mu.Unlock()
	if !runs {
		return nil
	}
	return f(in.account)
}

// ReserveOutput waits until the answer of the batch that runs may take the memory.
func (in *Inbound) ReserveOutput(bytes int) error {
	return in.whileRunning(func(a *budgeter.Account) error {
		if err := a.Reserve(in.reserved + int64(bytes)); err != nil {
			return err
		}
		// An account that held nothing when the batch began is not marked yet.
		a.SetRunning(true)
		return nil
	})
}

// Keep reserves memory for the state of the session; bytes may be negative. It reports
// whether the process has the memory.
func (in *Inbound) Keep(bytes int) bool {
	return in.whileRunning(func(a *budgeter.Account) error { return a.Keep(int64(bytes)) }) == nil
}

// SetWriting marks the batch's answer as being written: a caller that does not read it may
// be closed then.
func (in *Inbound) SetWriting(writing bool) {
	_ = in.whileRunning(func(a *budgeter.Account) error {
		a.SetRunning(!writing)
		return nil
	})
}

// Progress notes that the caller has read bytes of the answer.
func (in *Inbound) Progress(bytes int) {
	_ = in.whileRunning(func(a *budgeter.Account) error {
		a.Progress(int64(bytes))
		return nil
	})
}

// NoteSlowReader counts a caller that does not read its answer.
func (in *Inbound) NoteSlowReader() {
	if in != nil && in.budget != nil {
		in.budget.Refusals().Add(budgeter.SlowReader)
	}
}

// Close returns the memory of the session. It is called when nothing is read or run any more.
func (in *Inbound) Close() {
	if in != nil && in.account != nil {
		in.account.Close()
	}
}
