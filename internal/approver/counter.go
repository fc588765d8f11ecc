package approver

import (
	"fmt"
	"strconv"
	"strings"
)

// maxRevision keeps revisions far from the end of their range, so that a
// forged counter cannot make them wrap.
const maxRevision = 1 << 62

// revisionCounter is the newest revision number that was given out for a part, and
// the nonce of the proposal that took it.
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
