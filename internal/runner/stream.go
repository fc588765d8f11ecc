package runner

import (
	"time"

	"marigoldhub.example/hub/internal/responder"
)

// streamOutput passes on the buffered output once there is enough of it, unless
// it must be withheld.
func (x *Exchange) streamOutput() error {
	if !x.callerGoneAt.IsZero() {
		return x.dropOutput()
	}
	if err := x.cfg.Output.Reserve(); err != nil {
		return Lost("answer of backend server %s: %w", x.Conn.Server(), err)
	}
	limit := responder.PieceBytes
	if !x.mayStream && !x.PartlySent {
		limit = x.cfg.ResponseBufferLimit
	}
	if x.cfg.Output.Len() < limit {
		return nil
	}
	if x.withhold {
		if x.cfg.Output.Len() > x.cfg.BatchLimit {
			return Lost("answer after a commit is too large to be withheld")
		}
		return nil
	}
	x.PartlySent = true
	if err := x.cfg.Output.Flush(); err != nil {
		x.callerGoneAt = time.Now()
	}
	return nil
}

const (
	// maxDroppedBytes is how much of an answer is read on after its caller has gone, so
	// that the server connection can be used again. It takes about as long as opening
	// another one.
	maxDroppedBytes = 8 << 20
	// dropTimeout is how long that may take.
	dropTimeout = 500 * time.Millisecond
)

// dropOutput drops the buffered output of a caller that has gone. It fails when too much of
// the answer is left; the server connection is discarded then.
func (x *Exchange) dropOutput() error {
	x.droppedBytes += x.cfg.Output.Len()
	x.cfg.Output.Drop()
	return x.checkDrop()
}

func (x *Exchange) checkDrop() error {
	if x.droppedBytes > maxDroppedBytes || time.Since(x.callerGoneAt) > dropTimeout {
		return Lost("caller does not accept data")
	}
	return nil
}
