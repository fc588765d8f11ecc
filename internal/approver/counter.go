package approver

import (
	"fmt"
	"strconv"
	"strings"
)

// maxRevision is the largest value of a revision counter that is accepted from
// the store. It is far below the largest uint64, so that a forged counter
// cannot make later revision numbers overflow.
const maxRevision = 1 << 62

// revisionCounter is the newest revision number that was given out for a part,
// with the nonce of the proposal that has it. It stays when that proposal is
// withdrawn, so that no number is used twice.
type revisionCounter struct {
	revision uint64
	nonce    string
}

func (c revisionCounter) encode() []byte { return fmt.Appendf(nil, "%d %s", c.revision, c.nonce) }

func decodeRevisionCounter(data []byte) (revisionCounter, error) {
	number, nonce, _ := strings.Cut(string(data), " ")
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil || n > maxRevision {
		return revisionCounter{}, fmt.Errorf("revision counter %.40q is malformed", data)
	}
	return revisionCounter{n, nonce}, nil
}
