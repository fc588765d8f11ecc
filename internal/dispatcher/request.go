package dispatcher

import "marigoldhub.example/hub/internal/attempter"

// Request is a caller's statement with what it needs to run.
type Request = attempter.Request
