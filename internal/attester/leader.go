package attester

import "marigoldhub.example/hub/internal/informer"

// Leader is the primary of a term.
type Leader struct {
	Server informer.Server
	Term   uint64
}
