package promoter

import (
	"context"

	"marigoldhub.example/hub/internal/tracker"
)

// Commander sends the commands of a promotion to one backend server. Each
// command returns the server's status after it. If that status does not show
// the command's effect, the server rejected the command. After an error the
// command may or may not have taken effect.
type Commander interface {
	// Fence asks the server to accept the term. It did if the status shows the
	// term and the promoter, which is the identifier of the attempt.
	Fence(ctx context.Context, term uint64, promoter string) (tracker.Status, error)
	// Promote asks the server to lead the term that the promoter fenced. It
	// does if the status shows the role primary in that term.
	Promote(ctx context.Context, term uint64, promoter string) (tracker.Status, error)
	// Follow asks the server to follow the primary of the term, whose address is
	// that of the manifest. It does if the status shows the role replica in that
	// term.
	Follow(ctx context.Context, term uint64, primary, address string) (tracker.Status, error)
}
