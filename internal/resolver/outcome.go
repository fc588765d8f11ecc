package resolver

import (
	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/tracker"
)

// Outcome is what became of a request.
type Outcome int

const (
	// Unknown means that the request may or may not have taken effect.
	Unknown Outcome = iota
	// Done means that the request took effect and survives.
	Done
	// NotRun means that the request never takes effect.
	NotRun
)

var outcomeNames = [...]string{"unknown", "done", "not_run"}

// String returns the name in snake case.
func (o Outcome) String() string { return outcomeNames[o] }

// Commit is a commit with its bounds in the log of the primary that ran it.
type Commit struct {
	// Lower is a position that the log had reached before the request was sent. The
	// zero position is valid if none is known.
	Lower tracker.Position
	// Upper is a position that the primary reported after the commit.
	Upper tracker.Position
	// Wrote is true if the response proves that the request wrote a record. If it
	// wrote none, the log up to Upper may survive although the request never ran.
	Wrote bool
	// ReadOnly is true if the response proves that nothing was written.
	ReadOnly bool
}

// Resolve returns the outcome of the commit, given package confirmer's result for its
// position in the log.
func (c Commit) Resolve(res confirmer.Result) Outcome {
	switch res.Outcome {
	case confirmer.Confirmed:
		return Done
	case confirmer.Superseded:
		return c.resolveSuperseded(res)
	}
	return Unknown
}

func (c Commit) resolveSuperseded(res confirmer.Result) Outcome {
	if c.ReadOnly || c.wasTruncated(res) {
		return NotRun
	}
	if c.Wrote && res.Contains(c.Upper) {
		return Done
	}
	return Unknown
}

// wasTruncated reports whether the established log has no record of the commit's
// term after Lower.
func (c Commit) wasTruncated(res confirmer.Result) bool {
	for i, b := range res.Lineage {
		if b.Term != c.Upper.Term {
			continue
		}
		if i+1 >= len(res.Lineage) || c.Lower.Term != b.Term {
			return false
		}
		return res.Lineage[i+1].Start <= c.Lower.Offset
	}
	// The lineage lacks the commit's term but has a later one: the whole term was
	// truncated.
	n := len(res.Lineage)
	return n > 0 && res.Lineage[n-1].Term > c.Upper.Term
}
