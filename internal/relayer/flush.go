package relayer

import (
	"slices"
	"time"
)

// slowReaderGrace is how long a caller may take to accept a piece of an answer while it holds
// a server connection that other sessions have waited for longer than starvedWait. It is half
// of the time for which they wait.
const slowReaderGrace = time.Second

// reserveOutput reserves memory for the buffered output after it has grown.
func (s *Session) reserveOutput() error {
	if cap(s.out) <= s.outReserved {
		return nil
	}
	// A growing buffer is in memory together with its predecessor.
	if err := s.in.ReserveOutput(2 * cap(s.out)); err != nil {
		return err
	}
	s.outReserved = cap(s.out)
	return nil
}

// flush writes the buffered output to the caller, in pieces that each have their own time.
func (s *Session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	s.in.SetWriting(true)
	defer s.in.SetWriting(false)
	holds := s.holdsServerConn()
	var err error
	for piece := range slices.Chunk(s.out, flushBytes) {
		if err = s.writePiece(piece, holds); err != nil {
			break
		}
		s.in.Progress(len(piece))
	}
	if cap(s.out) > maxIdleBufferBytes {
		s.out = nil
	}
	s.out = s.out[:0]
	if s.outReserved > 0 {
		s.outReserved = 0
		_ = s.in.ReserveOutput(0) // never waits
	}
	if err != nil {
		return errClosed
	}
	return nil
}

// writePiece writes one piece. If the session holds a server connection, it gives up when
// the caller has accepted nothing for slowReaderGrace and others are starved.
func (s *Session) writePiece(piece []byte, holdsServerConn bool) error {
	began := time.Now()
	_ = s.conn.SetWriteDeadline(began.Add(s.r.cfg.WriteWait))
	if holdsServerConn {
		ended := make(chan struct{})
		defer close(ended)
		watch := time.AfterFunc(slowReaderGrace, func() { s.abandonSlowReader(ended) })
		defer watch.Stop()
	}
	_, err := s.conn.Write(piece)
	if err != nil && time.Since(began) >= slowReaderGrace {
		s.in.NoteSlowReader()
	}
	return err
}

// abandonSlowReader ends a write as soon as another session of the group is starved.
func (s *Session) abandonSlowReader(ended <-chan struct{}) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for s.group.starved.Load() == 0 {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
	}
	select {
	case <-ended:
	default:
		_ = s.conn.Close()
	}
}

// holdsServerConn reports whether the session uses or retains a server connection.
func (s *Session) holdsServerConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running != nil || s.retained.conn != nil
}
