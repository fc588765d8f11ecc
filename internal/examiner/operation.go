package examiner

import "time"

// Kind is what an operation did.
type Kind string

// Kinds of operations.
const (
	// Write stores Value under Key.
	Write Kind = "write"
	// LinearizableRead reads the current value of Key.
	LinearizableRead Kind = "strict_read"
	// BoundedRead reads a value of Key that may be MaxAge old.
	BoundedRead Kind = "bounded_read"
	// KeyedRequest runs a request that must not take effect twice; Key is its
	// request key, which all attempts share.
	KeyedRequest Kind = "keyed"
	// Insert adds the row Key once.
	Insert Kind = "insert"
	// PairInsert inserts two rows named Key in one transaction.
	PairInsert Kind = "pair"
	// Echo sends Value and asks for it back; Got is the answer.
	Echo Kind = "echo"
)

// Outcome is what was reported to the caller.
type Outcome string

// Outcomes of operations.
const (
	// Done means that the operation took effect.
	Done Outcome = "done"
	// NotExecuted means that the operation has no effect, now or later.
	NotExecuted Outcome = "not_run"
	// Unknown means that the operation may or may not take effect.
	Unknown Outcome = "unknown"
)

// Operation is one entry of a history.
type Operation struct {
	// Caller numbers the client; one caller runs one operation at a time.
	Caller int `json:"caller"`
	// Session numbers the session, which can span several connections.
	Session int    `json:"session"`
	Kind    Kind   `json:"kind"`
	Key     string `json:"key"`
	// Value is what was written or sent. Values written to one key increase.
	Value int64 `json:"value"`
	// Got is what a read or echo returned.
	Got int64 `json:"got"`
	// Start and End are measured from the start of the history.
	Start   time.Duration `json:"start"`
	End     time.Duration `json:"end"`
	Outcome Outcome       `json:"outcome"`
	// MaxAge is the age that a bounded read accepts.
	MaxAge time.Duration `json:"max_age,omitempty"`
	// Error is the error that the caller got when the operation did not succeed.
	Error string `json:"error,omitempty"`
}
