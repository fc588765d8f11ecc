package translator

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
)

// expectation is one response that the server will send, or that the proxy
// inserts at this place.
type expectation struct {
	// kind is the type of the message: 'P', 'B', 'D', 'E' or 'C'.
	kind byte
	// synthetic is the answer to a message that is not sent to the server.
	synthetic pgproto3.BackendMessage
	// hidden marks the response to a message that the proxy added; it is not
	// passed on.
	hidden bool
	// onSuccess is called when the response arrives or the proxy inserts it.
	onSuccess func()
	// statement is what an Execute message runs.
	statement classifier.Statement
}

// take removes the response that is next in order.
func (t *Translator) take() expectation {
	e := t.expected[0]
	t.expected = t.expected[1:]
	return e
}

// next returns the kind of the response that is next in order, 0 if none is.
func (t *Translator) next() byte {
	if len(t.expected) == 0 {
		return 0
	}
	return t.expected[0].kind
}

// Pending returns the number of responses that are still to come.
func (t *Translator) Pending() int { return len(t.expected) }

// Fail drops the responses that are still to come, because the server skips to Sync after an
// error.
func (t *Translator) Fail() { t.expected = nil }

// Current returns the statement that the server is executing.
func (t *Translator) Current() (classifier.Statement, bool) {
	if len(t.expected) == 0 {
		return classifier.Statement{}, false
	}
	return t.expected[0].statement, true
}

// TakeSynthetic returns the proxy's own response if one is next in order, otherwise nil.
func (t *Translator) TakeSynthetic() pgproto3.BackendMessage {
	if len(t.expected) == 0 || t.expected[0].synthetic == nil {
		return nil
	}
	e := t.take()
	if e.onSuccess != nil {
		e.onSuccess()
	}
	return e.synthetic
}

// TakeCompletion takes in a response of the server without content. It reports whether the
// response was expected and whether it is hidden from the caller.
func (t *Translator) TakeCompletion(m pgproto3.BackendMessage) (hidden, ok bool) {
	if t.next() != completedKind(m) {
		return false, false
	}
	e := t.take()
	if e.onSuccess != nil {
		e.onSuccess()
	}
	return e.hidden, true
}

func completedKind(m pgproto3.BackendMessage) byte {
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return 'P'
	case *pgproto3.BindComplete:
		return 'B'
	}
	return 'C'
}

// TakeDescription takes in a description if one is expected.
func (t *Translator) TakeDescription() {
	if t.next() == 'D' {
		t.take()
	}
}

// TakeExecution takes in the end of an execution and reports whether it was expected.
func (t *Translator) TakeExecution() bool {
	if t.next() != 'E' {
		return false
	}
	t.take()
	return true
}
