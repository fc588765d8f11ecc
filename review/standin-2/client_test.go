//go:build review

package standin

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// client is one session of a client.
type client struct {
	rec  *record
	name string
	conn net.Conn
	r    *bufio.Reader
	// sent counts the statements.
	sent int
}

// answer is what a client gets for one statement.
type answer struct {
	// id is that of the statement, sent when its first byte was sent.
	id   string
	sent time.Time
	// end is the COMPLETE or ERROR message, empty if none came, ready the READY message.
	end, ready string
	err        error
}

func (a answer) ok() bool { return strings.HasPrefix(a.end, "COMPLETE") && a.ready != "" }

// open connects a session to a node.
func (w *world) open(n *node, database, name string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", n.front, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{rec: w.rec, name: name, conn: conn, r: bufio.NewReader(conn)}
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "CONNECT %s %s\r\n", database, name)
	line, err := c.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		conn.Close()
		return nil, fmt.Errorf("connect: %q: %w", line, err)
	}
	return c, nil
}

// statementTimeout is how long a client waits for an answer.
const statementTimeout = 2500 * time.Millisecond

// query sends a statement and reads its answer.
func (c *client) query(text string) answer {
	c.sent++
	a := answer{id: fmt.Sprintf("%s.%d", c.name, c.sent), sent: time.Now()}
	c.conn.SetDeadline(a.sent.Add(statementTimeout))
	if _, a.err = fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text); a.err != nil {
		return a
	}
	for a.ready == "" && a.err == nil {
		var line string
		line, a.err = c.r.ReadString('\n')
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "READY"):
			a.ready = line
		case strings.HasPrefix(line, "COMPLETE"), strings.HasPrefix(line, "ERROR"):
			a.end = line
		}
	}
	c.rec.note("%s sent %.40s, after %d ms: %s, %s, %v", a.id, text, time.Since(a.sent).Milliseconds(), a.end, a.ready, a.err)
	return a
}

// await waits until the time and returns a message that arrives before; empty if none does.
func (c *client) await(until time.Time) string {
	c.conn.SetReadDeadline(until)
	line, err := c.r.ReadString('\n')
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ""
	}
	c.rec.note("%s got %q, %v, while no request was outstanding", c.name, line, err)
	return fmt.Sprint(strings.TrimSpace(line), " ", err)
}
