package dispatcher

import (
	"marigoldhub.example/hub/internal/attempter"
	"marigoldhub.example/hub/internal/transactor"
)

// Request is a caller's statement with what it needs to run.
type Request = attempter.Request

// Transaction is a caller's transaction; [Dispatcher.Begin] returns one.
type Transaction = transactor.Transaction
