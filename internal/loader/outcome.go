package loader

import (
	"errors"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"marigoldhub.example/hub/internal/examiner"
)

// SQLSTATEs with a stated outcome: those of section 4.7 of the design page, and
// those of refusals that a connection attempt or a statement may get.
const (
	stateNotExecuted = "40001"
	stateUnknown     = "08007"
	stateAlreadyDone = "MG001"
	stateShutdown    = "57P01"
	stateConnections = "53300"
)

// OutcomeOf returns what the error of an operation tells the caller about it. A
// broken connection tells nothing: the outcome is unknown unless pgx knows that
// nothing was sent. A COMMIT that the server answered with ROLLBACK was not
// executed.
func OutcomeOf(err error) examiner.Outcome {
	if err == nil {
		return examiner.Done
	}
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return outcomeOfState(pgErr.Code)
	}
	if errors.Is(err, pgx.ErrTxCommitRollback) || pgconn.SafeToRetry(err) {
		return examiner.NotExecuted
	}
	return examiner.Unknown
}

func outcomeOfState(code string) examiner.Outcome {
	switch code {
	case stateAlreadyDone:
		return examiner.Done
	case stateUnknown:
		return examiner.Unknown
	case stateNotExecuted, stateShutdown, stateConnections:
		return examiner.NotExecuted
	default:
		// After any other error the server has rolled the statement back.
		return examiner.NotExecuted
	}
}
