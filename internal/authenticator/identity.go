package authenticator

import "marigoldhub.example/hub/internal/informer"

// Identity is who a caller is. The zero value stands for a caller without a team.
type Identity struct {
	// Team is the name of the caller's team.
	Team string
	key  informer.KeyDigest
}

// withTeam returns the identity with another team.
func (id Identity) withTeam(team string) Identity {
	id.Team = team
	return id
}
