package examiner

import "time"

// Kind is what an operation did.
type Kind string

const (
	// Write stores Value under Key.
	Write Kind = "write"
	// LinearizableRead reads the current value of Key.
	LinearizableRead Kind = "strict_read"
	// BoundedRead reads a value of Key that may be MaxAge old.
	BoundedRead Kind = "bounded_read"
	// KeyedRequest runs a request that must not run twice; Key is its request key.
	KeyedRequest Kind = "keyed"
	// Insert adds the row Key once.
	Insert Kind = "insert"
	// PairInsert inserts two rows named Key in one transaction.
	PairInsert Kind = "pair"
	// Echo asks for Value to be sent back; Got is the answer.
	Echo Kind = "echo"
)

// Outcome is what the caller was told.
type Outcome string

const (
	Done        Outcome = "done"
	NotExecuted Outcome = "not_run"
	Unknown     Outcome = "unknown"
)

// Operation is one entry of a history.
type Operation struct {
	// Caller numbers the client; one caller runs one operation at a time.
	Caller int `json:"caller"`
	// Session numbers the session; it goes on across connections.
	Session int    `json:"session"`
	Kind    Kind   `json:"kind"`
	Key     string `json:"key"`
	// Value is what was written or asked for. Values of one key grow.
	Value int64 `json:"value"`
	// Got is what a read or echo returned.
	Got int64 `json:"got"`
	// Start and End count from the start of the history.
	Start   time.Duration `json:"start"`
	End     time.Duration `json:"end"`
	Outcome Outcome       `json:"outcome"`
	// MaxAge is the age that a bounded read accepts.
	MaxAge time.Duration `json:"max_age,omitempty"`
	// Error is what the caller was told when the operation did not succeed.
	Error string `json:"error,omitempty"`
}
