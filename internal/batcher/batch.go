package batcher

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/terminator"
)

// Batch is the unit that is run: a simple query, or extended-protocol messages
// up to Sync or Flush.
type Batch struct {
	Messages []pgproto3.FrontendMessage
	// Query is set for a simple query.
	Query *pgproto3.Query
	// Flushed is set when the batch ends with Flush instead of Sync.
	Flushed bool
	// Unsupported is the error for a message that the proxy does not support.
	Unsupported *pgproto3.ErrorResponse
	// size is the length of the encoded messages in bytes.
	size int
}

// add adds a message to the batch and reports whether the batch is complete. A batch that
// awaits Sync continues one that ended with Flush.
func (b *Batch) add(msg pgproto3.FrontendMessage, awaitsSync bool) (bool, error) {
	switch m := msg.(type) {
	case *pgproto3.Query:
		if len(b.Messages) > 0 || awaitsSync {
			return false, terminator.Fatal(resolver.CodeProtocolViolation, "simple query inside an extended-protocol batch")
		}
		b.Query = m
		return true, nil
	case *pgproto3.Sync:
		return true, nil
	case *pgproto3.Flush:
		b.Flushed = true
		return true, nil
	case *pgproto3.FunctionCall:
		if len(b.Messages) > 0 || awaitsSync {
			return false, terminator.Fatal(resolver.CodeProtocolViolation, "function call inside an extended-protocol batch")
		}
		b.Unsupported = resolver.Error(resolver.CodeNotSupported, "function call messages are not supported by the proxy", "")
		return true, nil
	case *pgproto3.CopyFail:
		return false, nil // left over from a refused COPY, ignored as by a server
	}
	b.Messages = append(b.Messages, msg)
	return false, nil
}
