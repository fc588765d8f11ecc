package runner

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/prober"
	"marigoldhub.example/hub/internal/router"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	// statusRowTimeout is the time within which a replica must send its status
	// row.
	statusRowTimeout = 300 * time.Millisecond
	// maxDiscardBytes is the largest unused answer that is read to its end in
	// order to keep the connection.
	maxDiscardBytes = 64 << 10
	// discardTimeout bounds the time for reading an unused answer.
	discardTimeout = 20 * time.Millisecond
)

// replicaRead is the state of a read on a replica.
type replicaRead struct {
	choice router.Choice
	// minPosition is the session's minimum position, zero when the policy
	// ignores it.
	minPosition tracker.Position
	sentAt      time.Time
	verified    bool // the status row was read
}

// ErrNotCovered means that the status row does not prove that the replica has
// the data that the read needs.
var ErrNotCovered = Lost("status row does not cover the read")

// NewReplicaRead returns an exchange of a batch of reads on a replica, whose status row precedes
// the answer. The replica must have applied the minimum position.
func (r *Runner) NewReplicaRead(conn pooler.Conn, b *batcher.Batch, p *planner.Plan, choice router.Choice, minimum tracker.Position) *Exchange {
	x := r.New(conn, b, p)
	x.mayStream = true
	x.replica = &replicaRead{choice: choice, minPosition: minimum, sentAt: r.cfg.Clock.Now()}
	conn.Send(&pgproto3.Query{String: prober.StatusQuery})
	return x
}

// verifyStatusRow reads the status row, which precedes the answer, and checks
// that it covers the read.
func (x *Exchange) verifyStatusRow() error {
	row, err := x.readStatus()
	if err != nil {
		return err
	}
	x.replica.verified = true
	if row == nil || !x.replica.covers(*row, x.cfg.Clock.Now()) {
		return ErrNotCovered
	}
	return nil
}

// covers reports whether the row proves the session's minimum position and the
// age bound. The replica has applied at least the position in the view, so the
// age that the view gives for that position is an upper bound for the row.
func (r *replicaRead) covers(row tracker.Status, now time.Time) bool {
	if row.Role == tracker.RolePrimary || !row.Applied.Covers(r.minPosition) || !row.Applied.Covers(r.choice.View.Log) {
		return false
	}
	age, known := r.choice.View.Age(now)
	return known && age <= r.choice.MaxAge
}

// checkWait returns an error if it is useless to wait longer for the replica.
func (r *replicaRead) checkWait(x *Exchange) error {
	if !r.verified && x.cfg.Clock.Since(r.sentAt) > statusRowTimeout {
		return Lost("replica %s sent no status row", x.Conn.Server())
	}
	v, ok := x.cfg.Views.View(x.cfg.Group)
	if !ok {
		return nil
	}
	if now, listed := v.Replica(x.Conn.Server()); listed && !now.Reachable {
		return Lost("replica %s is not reachable", x.Conn.Server())
	}
	return nil
}

// DiscardAnswer reads an answer that is not used. It reports whether the
// connection can be released.
func (x *Exchange) DiscardAnswer() bool {
	x.withhold = true
	_ = x.Conn.SetReadDeadline(time.Now().Add(discardTimeout))
	for x.Status == 0 {
		x.answerSynthetic()
		msg, err := x.Conn.Receive()
		if err != nil || x.handle(msg) != nil || x.cfg.Output.Len() > maxDiscardBytes {
			return false
		}
	}
	return x.Status == 'I'
}
