//go:build review

package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/exchanger/exchangertest"
)

const (
	// sessions are the clients' sessions, each of which sends a statement every
	// sessionPause on the mean: about the rate of pitch-booking.
	sessions     = 21
	sessionPause = 300 * time.Millisecond
	// writeShare is the share of writes.
	writeShare = 0.2
	// restartTime is how long the primary is away.
	restartTime = 100 * time.Millisecond
)

// staleness judges the reads of primary routes.
type staleness struct {
	mu sync.Mutex
	// sent has the time of the first byte of each statement, acknowledged that of the
	// answer to each commit.
	sent, acknowledged map[string]time.Time
	// ran has what a read lacked that ran, by its id.
	ran map[string]string
	// answered are the reads that were a success.
	answered []string
}

// observe is called with each statement that runs, and the log that it runs on.
func (s *staleness) observe(r exchangertest.Run) {
	if r.Statement.Kind != exchanger.Read {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, ok := s.sent[r.Statement.ID]
	if !ok {
		return
	}
	for id, at := range s.acknowledged {
		if at.Before(sent) && !slices.Contains(r.Entries, id) {
			s.ran[r.Statement.ID] = id
			return
		}
	}
}

// playRestartedPrimary restarts the primary under its id, without its log, while clients
// read and write on the primary route.
func playRestartedPrimary(w *world, trouble bool) (breaks []string, err error) {
	s := &staleness{sent: map[string]time.Time{}, acknowledged: map[string]time.Time{}, ran: map[string]string{}}
	w.OnRun = s.observe
	if err := w.startNodes(nodeZones); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var ended sync.WaitGroup
	for i := range sessions {
		ended.Go(func() { w.bookPitches(w.nodes[i%len(w.nodes)], fmt.Sprintf("c%d", i), s, stop) })
	}
	time.Sleep(5 * time.Second)
	if trouble {
		primary := w.servers[w.Primary()]
		primary.crash()
		w.rec.note("primary %s crashes", primary.id)
		time.Sleep(restartTime)
		if !w.RestartEmpty(primary.id, nil) {
			err = fmt.Errorf("no replica has all commits")
		}
		primary.comeBack()
		w.rec.note("%s has started again under its id, with nothing of before", primary.id)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	ended.Wait()
	return s.breaks(w), err
}

// bookPitches is a client of the primary route. It connects again after an error.
func (w *world) bookPitches(n *node, name string, s *staleness, stop <-chan struct{}) {
	var c *client
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.Int64N(int64(2 * sessionPause)))):
		}
		if c == nil {
			var err error
			if c, err = w.open(n, "booking", fmt.Sprintf("%s-%d", name, count)); err != nil {
				w.rec.note("%s: %v", name, err)
				c = nil
				continue
			}
		}
		isWrite := rand.Float64() < writeShare
		text := "FETCH 1a4"
		if isWrite {
			text = "PUT 1a4 x"
		}
		s.mu.Lock()
		s.sent[fmt.Sprintf("%s.%d", c.name, c.sent+1)] = time.Now()
		s.mu.Unlock()
		a := c.query(text)
		s.mu.Lock()
		switch {
		case a.ok() && isWrite:
			s.acknowledged[a.id] = time.Now()
		case a.ok():
			s.answered = append(s.answered, a.id)
		}
		s.mu.Unlock()
		if a.ready == "" {
			c.conn.Close()
			c = nil
		}
	}
}

// breaks returns the reads that were answered with success and ran on a log without a commit
// that is still in the log of the present primary.
func (s *staleness) breaks(w *world) (breaks []string) {
	kept := w.Entries()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.answered {
		if lacks, ok := s.ran[id]; ok && slices.Contains(kept, lacks) {
			breaks = append(breaks, fmt.Sprintf("STALE: read %s ran on a log that lacks commit %s, which was acknowledged before", id, lacks))
		}
	}
	w.rec.note("%d reads were answered, %d commits acknowledged", len(s.answered), len(s.acknowledged))
	return breaks
}
