//go:build review

package standin

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases[4] = transactionAtPlannedStop }

const (
	// transactionTime is how long an open transaction may go on after SIGTERM: the first half
	// of the grace period.
	transactionTime = graceSeconds * time.Second / 2
	// statementPause separates the statements of a transaction. The commit is the twelfth
	// statement; it is sent 2.9 s after SIGTERM.
	statementPause        = 285 * time.Millisecond
	transactionStatements = 12
)

// transactionAtPlannedStop stops an instance as planned while transactions are open there.
func transactionAtPlannedStop(w *world, trouble bool) error {
	if err := w.begin("pasar-a"); err != nil {
		return err
	}
	n := w.other(w.coordinator())
	time.Sleep(4 * time.Second)
	stopped := make(chan struct{})
	var opened, running sync.WaitGroup
	errs := make(chan error, 5)
	for i := range cap(errs) {
		opened.Add(1)
		running.Go(func() { errs <- w.holdTransaction(n, fmt.Sprintf("t%d", i), &opened, stopped) })
	}
	opened.Wait()
	if trouble {
		w.note("%s gets SIGTERM", n.name)
		n.signal(syscall.SIGTERM)
	}
	close(stopped)
	running.Wait()
	for range cap(errs) {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// holdTransaction runs a transaction whose first write is answered before the instance is stopped,
// and which goes on with a statement after each pause.
func (w *world) holdTransaction(n *node, name string, opened *sync.WaitGroup, stopped chan struct{}) error {
	var once sync.Once
	defer once.Do(opened.Done)
	c, err := w.connect(n, "pasar-a-primary", name)
	if err != nil {
		return err
	}
	defer c.close()
	for try := 0; ; try++ {
		c.send("BEGIN")
		r := c.send("PUT item1 first")
		if r.ok() {
			break
		}
		if try == 20 {
			return fmt.Errorf("PUT of %s: %s", name, r.end)
		}
		c.send("ROLLBACK")
		time.Sleep(100 * time.Millisecond)
	}
	once.Do(opened.Done)
	<-stopped
	began := time.Now()
	for i := 3; i <= transactionStatements; i++ {
		if early, at := c.hasMessage(statementPause), time.Since(began); early {
			if at < transactionTime {
				w.found("DRAIN: the open transaction of %s was ended %.3f s after SIGTERM, between two statements; it has %v", name, at.Seconds(), transactionTime)
			}
			c.read(result{})
			return nil
		}
		text := "PUT item1 next"
		if i == transactionStatements {
			text = "COMMIT"
		}
		sent := time.Since(began)
		if r := c.send(text); !r.ok() && sent < transactionTime {
			w.found("DRAIN: %q of the open transaction of %s, sent %.3f s after SIGTERM, got %q; the transaction has %v", text, name, sent.Seconds(), r.end, transactionTime)
			return nil
		}
	}
	return nil
}
