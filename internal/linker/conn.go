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

// Conn is a connection to a backend server with what the server holds for it.
type Conn struct {
	conn     exchanger.Conn
	values   map[string]string
	prepared map[exchanger.PreparedKey]string
	lastUsed time.Time
	broken   bool
}

func newConn(conn exchanger.Conn) *Conn {
	return &Conn{conn: conn, values: map[string]string{}, prepared: map[exchanger.PreparedKey]string{}}
}

// Run sends the statements after what the context needs and returns their
// answers. After an error the link is broken; the answers that arrived before
// it are returned.
func (c *Conn) Run(deadline time.Time, want Context, statements ...exchanger.Statement) ([]exchanger.Answer, error) {
	setup := c.setup(want)
	all := make([]exchanger.Statement, 0, len(setup)+len(statements))
	all = append(all, setup...)
	for _, s := range statements {
		if s.Kind == exchanger.Execute && want.Prepared != nil {
			s = s.WithName(c.prepared[*want.Prepared])
		}
		all = append(all, s)
	}
	answers, err := c.conn.Exchange(deadline, all...)
	if err != nil {
		c.broken = true
	}
	for i, a := range answers {
		if i < len(setup) && !a.OK() {
			c.broken = true
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
func (c *Conn) setup(want Context) []exchanger.Statement {
	var out []exchanger.Statement
	if c.needsReset(want) {
		out = append(out, exchanger.Statement{Kind: exchanger.Reset})
		clear(c.values)
		clear(c.prepared)
	}
	for name, value := range want.Values {
		if have, ok := c.values[name]; !ok || have != value {
			out = append(out, exchanger.Statement{Kind: exchanger.Set, Name: name, Value: value})
			c.values[name] = value
		}
	}
	if key := want.Prepared; key != nil && c.prepared[*key] == "" {
		name := "m" + strconv.Itoa(len(c.prepared))
		c.prepared[*key] = name
		out = append(out, exchanger.Statement{Kind: exchanger.Prepare, Name: name, Target: key.Target, Shape: key.Shape})
	}
	return out
}

func (c *Conn) needsReset(want Context) bool {
	if len(c.prepared) >= maxPrepared {
		return true
	}
	for name := range c.values {
		if _, ok := want.Values[name]; !ok {
			return true
		}
	}
	return false
}

// missingValues counts the values that would have to be set for the context.
func (c *Conn) missingValues(values map[string]string) int {
	n := 0
	for name, value := range values {
		if c.values[name] != value {
			n++
		}
	}
	return n
}

// IsBroken reports whether an exchange has failed; nothing more is answered.
func (c *Conn) IsBroken() bool { return c.broken }

// RunPlain sends statements of the instance itself, which need no context.
func (c *Conn) RunPlain(deadline time.Time, statements ...exchanger.Statement) ([]exchanger.Answer, error) {
	answers, err := c.conn.Exchange(deadline, statements...)
	if err != nil {
		c.broken = true
	}
	return answers, err
}
