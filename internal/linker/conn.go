package linker

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
)

// maxPrepared bounds the prepared statements of a connection. When it is reached,
// all of them are cleared by a reset of the server's session state.
const maxPrepared = 256

// maxState is how many bytes of values and prepared statements a connection may remember
// between two uses. One that remembers more is closed when it is released.
const maxState = 64 << 10

// errSetup means that a server refused to set a value or to prepare a statement.
var errSetup = errors.New("backend server refused the session's settings")

// Context is the session state that a server connection must have before a
// caller's statement.
type Context struct {
	// Values are the caller's session values.
	Values map[string]string
	// Prepared is the prepared statement that runs next, if any. It is prepared on the
	// connection first if the server does not have it there.
	Prepared *exchanger.PreparedKey
}

// Conn is a connection to a backend server with the session state that the server
// holds for it. Only one goroutine may use it at a time.
type Conn struct {
	conn exchanger.Conn
	// user is who the connection was opened for.
	user     string
	values   map[string]string
	prepared map[exchanger.PreparedKey]string
	lastUsed time.Time
	broken   bool
	// lent is set while a statement of the instance itself runs on a connection of a
	// user, which does not count as its use.
	lent bool
	// state is the size of values and prepared in bytes.
	state int
}

func newConn(conn exchanger.Conn, user string) *Conn {
	return &Conn{conn: conn, user: user, values: map[string]string{}, prepared: map[exchanger.PreparedKey]string{}}
}

// Run sends the statements, preceded by those that establish the context, and
// returns the answers to the statements. After an error the connection is broken;
// the answers that arrived before the error are returned.
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

// setup returns the statements that establish the context and records their effect
// at once. If one of them fails, the connection is broken and not used again, so
// the record cannot be wrong.
func (c *Conn) setup(want Context) []exchanger.Statement {
	var out []exchanger.Statement
	if c.needsReset(want) {
		out = append(out, exchanger.Statement{Kind: exchanger.Reset})
		clear(c.values)
		clear(c.prepared)
		c.state = 0
	}
	for name, value := range want.Values {
		if have, ok := c.values[name]; !ok || have != value {
			out = append(out, exchanger.Statement{Kind: exchanger.Set, Name: name, Value: value})
			c.values[name] = value
			if c.state += len(value) - len(have); !ok {
				c.state += len(name)
			}
		}
	}
	if key := want.Prepared; key != nil && c.prepared[*key] == "" {
		name := "m" + strconv.Itoa(len(c.prepared))
		c.prepared[*key] = name
		c.state += len(key.Template)
		out = append(out, exchanger.Statement{Kind: exchanger.Prepare, Name: name, PreparedKind: key.Kind, Template: key.Template})
	}
	return out
}

// needsReset reports whether the server holds too many or too long prepared statements, or a
// value that the context does not have.
func (c *Conn) needsReset(want Context) bool {
	if len(c.prepared) >= maxPrepared || c.state > maxState && len(c.prepared) > 0 {
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

// User returns who the connection was opened for: the team whose statements may run on
// it, or empty for the instance itself.
func (c *Conn) User() string { return c.user }

// IsBroken reports whether an exchange has failed. A broken connection answers
// nothing more.
func (c *Conn) IsBroken() bool { return c.broken }

// isClosed reports whether the server is known to have closed the connection.
func (c *Conn) isClosed() bool {
	r, ok := c.conn.(exchanger.ClosedReporter)
	return ok && r.IsClosed()
}

// RunPlain sends statements that the instance itself issues, without a Context, and
// returns their answers. After an error the connection is broken.
func (c *Conn) RunPlain(deadline time.Time, statements ...exchanger.Statement) ([]exchanger.Answer, error) {
	answers, err := c.conn.Exchange(deadline, statements...)
	if err != nil {
		c.broken = true
	}
	return answers, err
}
