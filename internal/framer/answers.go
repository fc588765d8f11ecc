package framer

import (
	"io"

	"marigoldhub.example/hub/internal/budgeter"
)

// answerCopies is how often a message of a server is in memory: its buffer, which is rounded
// up to a power of two, and the output buffer, which the session accounts for.
const answerCopies = 2

// Answers reads the messages of a backend server. A long one reserves memory before it is
// read; it is returned when the next message begins.
type Answers struct {
	Reader
	account *budgeter.Account
	// floor is taken without the budget, and limit is the memory of the whole budget.
	floor, limit int64
	// held is set while memory is reserved.
	held bool
}

// NewAnswers returns a reader of the connection to a server.
func NewAnswers(r io.Reader, budget *budgeter.Budget) *Answers {
	// A connection that waits for memory or for the server is not evicted.
	a := &Answers{account: budget.NewAccount(nil), floor: budget.Floor(), limit: budget.Bytes()}
	a.Reader = Reader{r: r, accountant: a}
	return a
}

// mustWait implements accountant.
func (a *Answers) mustWait(_ byte, length int64) bool { return length*answerCopies > a.floor }

// begin implements accountant.
func (a *Answers) begin(_ byte, length int64) error {
	if !a.held && length*answerCopies <= a.floor {
		return nil
	}
	if length*answerCopies > a.limit {
		return budgeter.ErrExhausted
	}
	a.held = length*answerCopies > a.floor
	return a.account.Reserve(length * answerCopies)
}

// end implements accountant.
func (a *Answers) end(byte) {}

// Buffered returns how many bytes were received and not passed on.
func (a *Answers) Buffered() int { return len(a.Reader.held) }

// Close returns the memory.
func (a *Answers) Close() { a.account.Close() }
