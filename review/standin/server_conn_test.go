//go:build review

package standin

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// serverConn is one connection to a server.
type serverConn struct {
	*server
	conn     net.Conn
	r        *bufio.Reader
	instance string
	id       string
	state    string
	readOnly bool
	writes   []string
	prepared map[string]string
	values   map[string]string
	// committing is set while a commit waits for a replica; guarded by the group's mu.
	committing bool
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	c := &serverConn{server: s, conn: conn, r: bufio.NewReader(conn), state: "I", prepared: map[string]string{}, values: map[string]string{}}
	line, err := c.r.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(line)
	if len(f) < 3 || f[0] != "CONNECT" {
		return
	}
	c.instance = f[2]
	c.awaitPath()
	s.g.mu.Lock()
	c.id = s.id
	refusal := ""
	switch {
	case !s.running:
		s.g.mu.Unlock()
		return
	case f[1] != s.g.service || len(f) > 3 && f[3] != s.id:
		refusal = "WRONGNODE " + s.id
	case len(s.conns) >= maxConnections:
		refusal = "MAXCONN " + s.id
	default:
		s.conns[c] = true
	}
	s.g.mu.Unlock()
	if refusal != "" {
		fmt.Fprintf(conn, "ERROR %s\r\n", refusal)
		return
	}
	defer func() {
		s.g.mu.Lock()
		delete(s.conns, c)
		s.g.mu.Unlock()
	}()
	fmt.Fprintf(conn, "READY I %v\r\n", c.position())
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return
		}
		c.awaitPath()
		f := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		answer := c.handle(f[1], f[2])
		if answer == "" {
			return
		}
		c.awaitPath()
		if _, err := fmt.Fprintf(conn, "%sREADY %s %v\r\n", answer, c.state, c.position()); err != nil {
			return
		}
	}
}

// awaitPath waits while the instance is cut off: bytes in flight arrive when the cut ends.
func (c *serverConn) awaitPath() {
	for c.isCut(c.instance) {
		time.Sleep(2 * time.Millisecond)
	}
}

func (c *serverConn) position() position {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	return c.end()
}

// handle runs one statement and returns its messages without READY; empty if the connection
// ends without an answer.
func (c *serverConn) handle(id, text string) string {
	required := position{}
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		at, after, _ := strings.Cut(rest, " ")
		fmt.Sscanf(at, "%d.%d", &required.term, &required.number)
		text = after
	}
	words := strings.Fields(text)
	if c.state == "E" && words[0] != "COMMIT" && words[0] != "ROLLBACK" {
		return "ERROR MALFORMED the transaction failed\r\n"
	}
	switch words[0] {
	case "SET":
		c.values[words[1]] = strings.TrimPrefix(text, "SET "+words[1]+" ")
		return "COMPLETE -\r\n"
	case "RESET":
		clear(c.values)
		clear(c.prepared)
		return "COMPLETE -\r\n"
	case "PREPARE":
		c.prepared[words[1]] = words[2]
		return "COMPLETE -\r\n"
	case "DEALLOC":
		delete(c.prepared, words[1])
		return "COMPLETE -\r\n"
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return c.command(words)
	case "ROLLBACK":
		c.state, c.writes = "I", nil
		return "COMPLETE -\r\n"
	}
	c.g.mu.Lock()
	c.runs[c.instance]++
	lacks := c.end().before(required)
	primary := c.primary
	c.g.mu.Unlock()
	if lacks {
		return "ERROR LAGGING " + c.id + "\r\n"
	}
	kind := words[0]
	if kind == "EXECUTE" {
		if kind = c.prepared[words[1]]; kind == "" {
			return c.fail("NOSTMT")
		}
	}
	switch kind {
	case "BEGIN":
		c.readOnly = len(words) > 1
		if !primary && !c.readOnly {
			return "ERROR READONLY " + c.id + "\r\n"
		}
		c.state, c.writes = "T", nil
		return "COMPLETE -\r\n"
	case "FETCH":
		if c.state == "T" && !c.readOnly && !primary {
			return c.fail("READONLY")
		}
		time.Sleep(workTime)
		c.g.w.note("%s runs %s %q from %s", c.id, id, text, c.instance)
		return fmt.Sprintf("ROW x\r\nCOMPLETE sig-%s-%s\r\n", c.id, id)
	case "PUT":
		if !primary || c.state == "T" && c.readOnly {
			return c.fail("READONLY")
		}
		time.Sleep(workTime)
		c.g.w.note("%s runs %s %q from %s", c.id, id, text, c.instance)
		if c.state == "T" {
			c.writes = append(c.writes, id)
			return fmt.Sprintf("COMPLETE sig-%s-%s\r\n", c.id, id)
		}
		return c.commit(id)
	case "COMMIT":
		if c.state != "T" {
			c.state, c.writes = "I", nil
			return "ERROR ABORTED " + c.id + "\r\n"
		}
		wrote := len(c.writes) > 0
		c.state, c.writes = "I", nil
		if !wrote {
			return fmt.Sprintf("COMPLETE sig-%s-%s\r\n", c.id, id)
		}
		if !primary {
			return "ERROR READONLY " + c.id + "\r\n"
		}
		time.Sleep(workTime)
		c.g.w.note("%s runs %s %q from %s", c.id, id, text, c.instance)
		return c.commit(id)
	}
	return "ERROR MALFORMED " + c.id + "\r\n"
}

// fail answers a statement that did not run. An open transaction has failed then.
func (c *serverConn) fail(code string) string {
	if c.state == "T" {
		c.state = "E"
	}
	return "ERROR " + code + " " + c.id + "\r\n"
}

// commit adds the commit to the log and waits until one replica has received it.
func (c *serverConn) commit(id string) string {
	c.g.mu.Lock()
	if !c.primary || !c.running {
		c.g.mu.Unlock()
		return "ERROR READONLY " + c.id + "\r\n"
	}
	e, received := c.appendEntry(id)
	c.committing = true
	c.g.mu.Unlock()
	c.g.w.note("%s has commit %v of %s in its log", c.id, e.position, id)
	defer func() {
		c.g.mu.Lock()
		c.committing = false
		c.g.mu.Unlock()
	}()
	gone := make(chan error, 1)
	go func() {
		_, err := c.r.Peek(1)
		gone <- err
	}()
	ended := false
	select {
	case <-received:
	case err := <-gone:
		ended = true
		if err != nil {
			return ""
		}
		<-received
	}
	c.g.w.note("%s answers commit %v of %s: a replica has received it", c.id, e.position, id)
	if !ended {
		c.conn.SetReadDeadline(time.Now())
		<-gone
		c.conn.SetReadDeadline(time.Time{})
	}
	return fmt.Sprintf("COMPLETE sig-%s-%s\r\n", c.id, id)
}

// command runs a command of an instance.
func (c *serverConn) command(words []string) string {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	term := uint64(0)
	if len(words) > 1 {
		term, _ = strconv.ParseUint(words[1], 10, 64)
	}
	newest := uint64(0)
	for _, s := range c.g.servers {
		newest = max(newest, s.term)
	}
	switch words[0] {
	case "PAUSE":
		if !c.primary && term > newest {
			c.paused = term
			if c.onPause != nil {
				go c.onPause()
			}
		}
	case "RESUME":
		c.paused = 0
		for _, p := range c.g.servers {
			if p.primary && p.running {
				c.receiveLater(p)
			}
		}
	case "STEPDOWN":
		if c.primary && term > c.term {
			c.stopLeading()
		}
	}
	role := "replica"
	if c.primary {
		role = "primary"
	}
	if words[0] != "STATUS" {
		c.g.w.note("%s runs %s for %s: role %s, term %d, log to %v, paused for %d", c.id, strings.Join(words, " "), c.instance, role, c.term, c.end(), c.paused)
	}
	return fmt.Sprintf("ROW %s %d %v %d 0 1 %d\r\nCOMPLETE -\r\n", role, c.term, c.end(), c.paused, len(c.conns))
}
