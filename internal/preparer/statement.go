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

// namePrefix is the prefix of all server names.
const namePrefix = "marigold_"

// Statement is a prepared statement of a caller.
type Statement struct {
	// Text is the text that the server prepares.
	Text string
	// OIDs are the types of the parameters that the caller specified.
	OIDs []uint32
	// ServerName is the name of the statement at the server. It is empty for the
	// unnamed statement.
	ServerName string
	// Result is the classification of the statement.
	Result *classifier.Result
}

// NewStatement returns the statement of a Parse message. The server prepares
// text, which may differ from the text in the message.
func NewStatement(p *pgproto3.Parse, text string, result *classifier.Result) *Statement {
	s := &Statement{Text: text, OIDs: p.ParameterOIDs, Result: result}
	if p.Name != "" {
		s.ServerName = serverName(text, p.ParameterOIDs)
	}
	return s
}

// Parse returns the message that prepares the statement under the given name.
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

// UnknownServerName returns a name under which no statement exists at the
// server, so that the server reports its own error for a name that the caller
// has not prepared. It is the caller's name unless that could be a server name.
func UnknownServerName(name string) string {
	if strings.HasPrefix(name, namePrefix) {
		return "unknown " + name
	}
	return name
}

// Limits of the prepared statements of one caller connection.
const (
	maxStatements = 5_000
	// maxBytes is the maximum total length of the statement texts.
	maxBytes = 16 << 20
)

// ErrTooManyStatements is returned when the prepared statements of a caller
// connection exceed their number or total length.
var ErrTooManyStatements = errors.New("too many prepared statements in this session")

// Set holds the prepared statements of one caller connection by the caller's
// names. The unnamed statement has the empty name. The zero value is an empty
// set.
type Set struct {
	// Keep reserves memory for statements; bytes may be negative. It reports whether there
	// is enough. Nil means no limit.
	Keep   func(bytes int) bool
	byName map[string]*Statement
	bytes  int
}

// Get returns the statement with the given name.
func (s *Set) Get(name string) (*Statement, bool) {
	st, ok := s.byName[name]
	return st, ok
}

// Put adds the statement under the name and replaces an existing one. If it
// returns [ErrTooManyStatements], there is no statement with that name.
func (s *Set) Put(name string, st *Statement) error {
	s.Remove(name)
	if len(s.byName) >= maxStatements || s.bytes+len(st.Text) > maxBytes || !s.keep(len(st.Text)) {
		return ErrTooManyStatements
	}
	if s.byName == nil {
		s.byName = make(map[string]*Statement)
	}
	s.byName[name] = st
	s.bytes += len(st.Text)
	return nil
}

// Remove removes the statement with the given name, if any.
func (s *Set) Remove(name string) {
	if st, ok := s.byName[name]; ok {
		s.bytes -= len(st.Text)
		s.keep(-len(st.Text))
		delete(s.byName, name)
	}
}

// Clear removes all statements.
func (s *Set) Clear() {
	s.keep(-s.bytes)
	s.byName, s.bytes = nil, 0
}

// textCopies is how often the text of a statement is in memory, its classification included.
const textCopies = 2

func (s *Set) keep(bytes int) bool { return s.Keep == nil || bytes == 0 || s.Keep(textCopies*bytes) }

// MentionsServerName reports whether an error message of a server contains a
// server name, which the caller does not know.
func MentionsServerName(message string) bool { return strings.Contains(message, `"`+namePrefix) }
