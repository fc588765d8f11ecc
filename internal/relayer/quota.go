package relayer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/pooler"
)

// acquireAdmitted returns a connection to the primary for the session's operation while its
// token is valid, if it needs one. The token is confirmed before the wait for a connection, too,
// so that none is kept from others during a wait for a token unless the wait for the connection
// outlasted the token.
func (s *Session) acquireAdmitted(w *primaryWait, class pooler.Class) (pooler.Conn, *pgproto3.ErrorResponse) {
	if failure := s.beginPrimaryUse(w); failure != nil {
		return nil, failure
	}
	if failure := s.quota.Confirm(); failure != nil {
		return nil, failure
	}
	conn, failure := s.acquirePrimary(w, class)
	if failure != nil {
		return nil, failure
	}
	if failure := s.quota.Confirm(); failure != nil {
		conn.Release()
		return nil, failure
	}
	return conn, nil
}

// settleQuota ends the session's operation unless a transaction, or a batch that awaits
// Sync, goes on.
func (s *Session) settleQuota() {
	s.quota.Settle(!s.retained.tx.active && s.retained.openExchange == nil && !s.txLost)
}
