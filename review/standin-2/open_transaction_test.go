//go:build review

package standin

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// gracePeriod is grace_s of the settings.
	gracePeriod = 6 * time.Second
	// statementPause is the pause between two statements of the transaction, and
	// statementsPerTransaction the most that a client sends.
	statementPause           = 290 * time.Millisecond
	statementsPerTransaction = 12
	// endMargin is how long before half of the grace period the transaction ends.
	endMargin = 100 * time.Millisecond
)

// playOpenTransaction stops a machine on which clients have transactions open. They work
// on and commit before half of the grace period has passed.
func playOpenTransaction(w *world, trouble bool) (breaks []string, err error) {
	if err := w.startNodes(nodeZones[:4]); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	const clients = 5
	var cs []*client
	for i := range clients {
		c, err := w.open(w.nodes[0], "booking", fmt.Sprintf("c%d", i))
		if err != nil {
			return nil, err
		}
		cs = append(cs, c)
		for _, text := range []string{"BEGIN", "PUT 1a4 x"} {
			if a := c.query(text); !a.ok() {
				return nil, fmt.Errorf("%s before the stop: %s", text, a.end)
			}
		}
	}
	stopped := time.Now()
	if trouble {
		w.nodes[0].cmd.Process.Signal(syscall.SIGTERM)
		w.rec.note("%s gets SIGTERM", w.nodes[0].name)
	}
	results := make(chan string, clients)
	for _, c := range cs {
		go func() { results <- c.finish(stopped.Add(gracePeriod/2 - endMargin)) }()
	}
	for range clients {
		if b := <-results; b != "" {
			breaks = append(breaks, b)
		}
	}
	if trouble {
		select {
		case <-w.nodes[0].ended:
			w.rec.note("the process has ended by %d ms after SIGTERM", time.Since(stopped).Milliseconds())
		case <-time.After(time.Until(stopped.Add(gracePeriod))):
			w.rec.note("the process runs at the end of the grace period")
		}
	}
	return breaks, nil
}

// finish reads in the open transaction and commits it right before the time. It returns what
// broke the rule; empty if nothing did.
func (c *client) finish(end time.Time) string {
	began := time.Now()
	for range statementsPerTransaction - 3 {
		if time.Until(end) <= statementPause {
			break
		}
		time.Sleep(statementPause)
		if a := c.query("FETCH 1a4"); !a.ok() {
			return fmt.Sprintf("%s: a read of the open transaction %d ms after SIGTERM: %q, %v", c.name, a.sent.Sub(began).Milliseconds(), a.end, a.err)
		}
	}
	if line := c.await(end); line != "" {
		return fmt.Sprintf("%s: the transaction was ended %d ms after SIGTERM, while no request was outstanding: %q", c.name, time.Since(began).Milliseconds(), line)
	}
	if a := c.query("COMMIT"); !a.ok() {
		return fmt.Sprintf("%s: the commit of the open transaction %d ms after SIGTERM: %q, %v", c.name, a.sent.Sub(began).Milliseconds(), a.end, a.err)
	}
	return ""
}
