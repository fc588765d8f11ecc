//go:build review

package standin

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// caller is one session at an instance.
type caller struct {
	w      *world
	name   string
	serial int
	conn   net.Conn
	r      *bufio.Reader
}

// answerLimit is how long a caller waits for an answer.
const answerLimit = 3 * time.Second

// connect opens a session.
func (w *world) connect(n *node, database, name string) (*caller, error) {
	conn, err := net.DialTimeout("tcp4", n.front, time.Second)
	if err != nil {
		return nil, err
	}
	c := &caller{w: w, name: name, conn: conn, r: bufio.NewReader(conn)}
	conn.SetDeadline(time.Now().Add(answerLimit))
	fmt.Fprintf(conn, "CONNECT %s %s\r\n", database, name)
	line, err := c.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		conn.Close()
		return nil, fmt.Errorf("session of %s at %s was not opened: %q %v", name, n.name, strings.TrimSpace(line), err)
	}
	return c, nil
}

// result is the answer to one statement. end is its COMPLETE or ERROR message, or "closed";
// state is the state of the session after it.
type result struct {
	id, end, state string
}

func (r result) ok() bool { return strings.HasPrefix(r.end, "COMPLETE") }

// send sends a statement and waits for its answer.
func (c *caller) send(text string) result {
	c.serial++
	id := fmt.Sprintf("%s-%d", c.name, c.serial)
	c.w.note("%s sends %s %q", c.name, id, text)
	c.conn.SetDeadline(time.Now().Add(answerLimit))
	r := result{id: id, end: "closed"}
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err == nil {
		r = c.read(r)
	}
	c.w.note("%s gets for %s: %s, state %s", c.name, id, r.end, r.state)
	return r
}

func (c *caller) read(r result) result {
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return r
		}
		line = strings.TrimSuffix(line, "\r\n")
		switch word, rest, _ := strings.Cut(line, " "); word {
		case "COMPLETE", "ERROR":
			r.end = line
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			return r
		}
	}
}

func (c *caller) close() { c.conn.Close() }
