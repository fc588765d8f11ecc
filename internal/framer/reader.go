package framer

import (
	"encoding/binary"
	"io"
	"slices"
)

const (
	headerBytes = 5
	// startupHeaderBytes is the length of the length and code fields of a startup packet,
	// which has no type.
	startupHeaderBytes = 8
	// protocolMajor is the major version in a startup message. Requests for encryption and
	// cancellation have other codes.
	protocolMajor = 3
)

// accountant is told of the messages that a [Reader] passes on.
type accountant interface {
	// mustWait reports whether begin may wait for a message of the length.
	mustWait(kind byte, length int64) bool
	// begin is called before a message's header is passed on as a whole.
	begin(kind byte, length int64) error
	// end is called before a message's last byte is passed on.
	end(kind byte)
}

// Reader passes on the bytes of a connection and follows the boundaries of its messages.
type Reader struct {
	r          io.Reader
	accountant accountant
	// startup is set until the startup message has begun.
	startup bool
	// header has what was received of a message's header, left is the length of the rest
	// of the message, and kind its type.
	header []byte
	left   int64
	kind   byte
	// held are bytes that were received and not passed on, because a message before them
	// has to be processed first.
	held []byte
}

// Read implements [io.Reader].
func (r *Reader) Read(p []byte) (int, error) {
	var n int
	if len(r.held) > 0 {
		n = copy(p, r.held)
		r.held = r.held[n:]
	} else {
		var err error
		if n, err = r.r.Read(p); n == 0 {
			return 0, err
		}
	}
	passed, err := r.scan(p[:n])
	if err != nil {
		return 0, err
	}
	if passed < n {
		r.held = slices.Concat(p[passed:n], r.held)
	}
	return passed, nil
}

// inMessage reports whether a message has been received in part.
func (r *Reader) inMessage() bool { return r.left > 0 || len(r.header) > 0 }

// scan follows the messages in data and returns how much of it can be passed on.
func (r *Reader) scan(data []byte) (int, error) {
	for i := 0; i < len(data); {
		if r.left > 0 {
			n := min(r.left, int64(len(data)-i))
			i += int(n)
			r.advance(n)
			continue
		}
		start := i - len(r.header)
		n := min(r.headerLen()-len(r.header), len(data)-i)
		r.header = append(r.header, data[i:i+n]...)
		i += n
		if len(r.header) < r.headerLen() {
			break
		}
		kind, length := r.parseHeader()
		if start > 0 && r.accountant.mustWait(kind, length) {
			r.header = r.header[:0]
			return start, nil
		}
		if err := r.accountant.begin(kind, length); err != nil {
			return 0, err
		}
		r.kind, r.left = kind, max(length-int64(len(r.header)), 0)
		if r.startup && r.header[5] == protocolMajor && r.header[4] == 0 {
			r.startup = false
		}
		r.header = r.header[:0]
		r.advance(0)
	}
	return len(data), nil
}

// advance notes that n further bytes of a message were received.
func (r *Reader) advance(n int64) {
	if r.left -= n; r.left == 0 {
		r.accountant.end(r.kind)
	}
}

func (r *Reader) headerLen() int {
	if r.startup {
		return startupHeaderBytes
	}
	return headerBytes
}

// parseHeader returns the type and the length of the message including its header. The
// type of a startup packet is 0.
func (r *Reader) parseHeader() (byte, int64) {
	if r.startup {
		return 0, int64(binary.BigEndian.Uint32(r.header))
	}
	return r.header[0], 1 + int64(binary.BigEndian.Uint32(r.header[1:]))
}
