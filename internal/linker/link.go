package linker

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
)

// maxPrepared bounds the prepared statements of a link; more are cleared
// together. The server keeps them per connection, as the link does.
const maxPrepared = 256

// errSetup means that a server refused to set a value or to prepare a statement.
var errSetup = errors.New("backend server refused the session's settings")

// Context is what a server connection must hold before a caller's statement.
type Context struct {
	// Values are the caller's session values.
	Values map[string]string
	// Prepared is the prepared statement that runs next, if any.
	Prepared *exchanger.PreparedKey
}

// Link is a connection to a backend server with what the server holds for it.
type Link struct {
	conn     exchanger.Conn
	values   map[string]string
	prepared map[exchanger.PreparedKey]string
	used     time.Time
	broken   bool
}

func newLink(conn exchanger.Conn) *Link {
	return &Link{conn: conn, values: map[string]string{}, prepared: map[exchanger.PreparedKey]string{}}
}

// Run sends the statements after what the context needs and returns their
// answers. After an error the link is broken; the answers that arrived before
// it are returned.
func (l *Link) Run(deadline time.Time, c Context, statements ...exchanger.Statement) ([]exchanger.Answer, error) {
	setup := l.setup(c)
	all := make([]exchanger.Statement, 0, len(setup)+len(statements))
	all = append(all, setup...)
	for _, s := range statements {
		if s.Kind == exchanger.Execute && c.Prepared != nil {
			s = s.WithName(l.prepared[*c.Prepared])
		}
		all = append(all, s)
	}
	answers, err := l.conn.Exchange(deadline, all...)
	if err != nil {
		l.broken = true
	}
	for i, a := range answers {
		if i < len(setup) && !a.OK() {
			l.broken = true
			return nil, fmt.Errorf("%w: %w: %s %s", exchanger.ErrConnectionLost, errSetup, a.Code, a.Text)
		}
	}
	if len(answers) < len(setup) {
		return nil, err
	}
	return answers[len(setup):], err
}

// setup returns the statements that bring the connection to the context and
// records their effect. A failure breaks the link, so the record stays true.
func (l *Link) setup(c Context) []exchanger.Statement {
	var out []exchanger.Statement
	if l.needsReset(c) {
		out = append(out, exchanger.Statement{Kind: exchanger.Reset})
		clear(l.values)
		clear(l.prepared)
	}
	for name, value := range c.Values {
		if have, ok := l.values[name]; !ok || have != value {
			out = append(out, exchanger.Statement{Kind: exchanger.Set, Name: name, Value: value})
			l.values[name] = value
		}
	}
	if key := c.Prepared; key != nil && l.prepared[*key] == "" {
		name := "m" + strconv.Itoa(len(l.prepared))
		l.prepared[*key] = name
		out = append(out, exchanger.Statement{Kind: exchanger.Prepare, Name: name, PreparedKind: key.Kind, Template: key.Template})
	}
	return out
}

func (l *Link) needsReset(c Context) bool {
	if len(l.prepared) >= maxPrepared {
		return true
	}
	for name := range l.values {
		if _, ok := c.Values[name]; !ok {
			return true
		}
	}
	return false
}

// fit counts the values that would have to be set for the context.
func (l *Link) fit(values map[string]string) int {
	n := 0
	for name, value := range values {
		if l.values[name] != value {
			n++
		}
	}
	return n
}

// IsBroken reports whether an exchange has failed; nothing more is answered.
func (l *Link) IsBroken() bool { return l.broken }

// RunPlain sends statements of the instance itself, which need no context.
func (l *Link) RunPlain(deadline time.Time, statements ...exchanger.Statement) ([]exchanger.Answer, error) {
	answers, err := l.conn.Exchange(deadline, statements...)
	if err != nil {
		l.broken = true
	}
	return answers, err
}
