package preparer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
)

// namePrefix starts the names on the server side.
const namePrefix = "marigold_"

// Statement is a prepared statement.
type Statement struct {
	// Text is what the server prepares.
	Text string
	OIDs []uint32
	// ServerName is the name on the server side.
	ServerName string
	Result     *classifier.Result
}

// NewStatement returns the statement of a Parse message for which the server
// prepares text.
func NewStatement(p *pgproto3.Parse, text string, result *classifier.Result) *Statement {
	s := &Statement{Text: text, OIDs: p.ParameterOIDs, Result: result}
	if p.Name != "" {
		s.ServerName = serverName(text, p.ParameterOIDs)
	}
	return s
}

// Parse returns the message that prepares the statement under a name.
func (s *Statement) Parse(name string) *pgproto3.Parse {
	return &pgproto3.Parse{Name: name, Query: s.Text, ParameterOIDs: s.OIDs}
}

func serverName(text string, oids []uint32) string {
	h := sha256.New()
	h.Write([]byte(text))
	h.Write([]byte{0})
	for _, oid := range oids {
		h.Write(binary.BigEndian.AppendUint32(nil, oid))
	}
	return namePrefix + hex.EncodeToString(h.Sum(nil)[:16])
}

// UnknownServerName returns a name under which no statement exists on the server
// side, so that the server reports its own error about it.
func UnknownServerName(name string) string {
	if strings.HasPrefix(name, namePrefix) {
		return "unknown " + name
	}
	return name
}

// Limits of one caller connection.
const (
	maxStatements = 5_000
	// maxBytes bounds the texts kept for one caller connection.
	maxBytes = 16 << 20
)

// ErrTooManyStatements is returned when a caller keeps too many prepared statements.
var ErrTooManyStatements = errors.New("too many prepared statements in this session")

// Set holds the prepared statements of one caller by name. The unnamed
// statement has the empty name. The zero value is an empty set.
type Set struct {
	byName map[string]*Statement
	bytes  int
}

// Get returns the statement of that name.
func (s *Set) Get(name string) (*Statement, bool) {
	st, ok := s.byName[name]
	return st, ok
}

// Put adds or replaces the statement of that name.
func (s *Set) Put(name string, st *Statement) error {
	s.Remove(name)
	if len(s.byName) >= maxStatements || s.bytes+len(st.Text) > maxBytes {
		return ErrTooManyStatements
	}
	if s.byName == nil {
		s.byName = make(map[string]*Statement)
	}
	s.byName[name] = st
	s.bytes += len(st.Text)
	return nil
}

// Remove forgets the statement of that name.
func (s *Set) Remove(name string) {
	if st, ok := s.byName[name]; ok {
		s.bytes -= len(st.Text)
		delete(s.byName, name)
	}
}

// Clear forgets all statements.
func (s *Set) Clear() { *s = Set{} }

// MentionsServerName reports whether a message of a server names a statement of this
// package.
func MentionsServerName(message string) bool { return strings.Contains(message, `"`+namePrefix) }
