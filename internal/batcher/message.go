package batcher

import (
	"errors"
	"io"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

// message is one message of the caller, or the error that ended reading.
type message struct {
	msg pgproto3.FrontendMessage
	// size is the length of the encoded message.
	size int
	err  error
}

func isDisconnect(err error) bool {
	if err == nil {
		return false
	}
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// takeMessage returns a message that does not refer to the read buffer. It clears the
// receiver's own message, so that an idle session does not keep the last large one.
func takeMessage(msg pgproto3.FrontendMessage) message {
	switch m := msg.(type) {
	case *pgproto3.Query:
		taken := *m
		*m = pgproto3.Query{}
		return message{msg: &taken, size: headerBytes + len(taken.String) + 1}
	case *pgproto3.Parse:
		taken := *m
		*m = pgproto3.Parse{}
		const counts = 4 // two terminators and the number of types
		return message{msg: &taken, size: headerBytes + len(taken.Name) + len(taken.Query) + counts + 4*len(taken.ParameterOIDs)}
	case *pgproto3.Bind:
		taken := cloneMessage(m, &pgproto3.Bind{})
		*m = pgproto3.Bind{}
		return taken
	case *pgproto3.Describe:
		return cloneMessage(m, &pgproto3.Describe{})
	case *pgproto3.Execute:
		return cloneMessage(m, &pgproto3.Execute{})
	case *pgproto3.Close:
		return cloneMessage(m, &pgproto3.Close{})
	case *pgproto3.Sync:
		return message{msg: &pgproto3.Sync{}, size: headerBytes}
	case *pgproto3.Flush:
		return message{msg: &pgproto3.Flush{}, size: headerBytes}
	case *pgproto3.Terminate:
		return message{msg: &pgproto3.Terminate{}, size: headerBytes}
	case *pgproto3.FunctionCall:
		*m = pgproto3.FunctionCall{}
		return message{msg: &pgproto3.FunctionCall{}, size: headerBytes}
	case *pgproto3.CopyData:
		*m = pgproto3.CopyData{}
		return message{msg: &pgproto3.CopyFail{}, size: headerBytes}
	case *pgproto3.CopyDone, *pgproto3.CopyFail:
		return message{msg: &pgproto3.CopyFail{}, size: headerBytes}
	}
	return message{err: errors.New("unexpected message")}
}

// cloneMessage copies a message into c.
func cloneMessage(msg, c pgproto3.FrontendMessage) message {
	raw, err := msg.Encode(nil)
	if err != nil {
		return message{err: err}
	}
	return message{msg: c, size: len(raw), err: c.Decode(raw[headerBytes:])}
}

// headerBytes is the length of the type and length fields of a message.
const headerBytes = 5
