package sessioner

import (
	"sync"
	"time"
)

// watchDelay is how long a statement runs before its caller's connection is watched. Most
// statements have been answered by then, and one whose caller leaves earlier costs hardly
// more than its run.
const watchDelay = 50 * time.Millisecond

// watchCaller returns a channel that is closed when the caller closes its connection while
// a statement of it runs. The function stop ends the watch; the connection may be read only
// after it has returned.
func (s *session) watchCaller() (left <-chan struct{}, stop func()) {
	closed := make(chan struct{})
	var mu sync.Mutex
	var stopped bool
	var stopWatch func()
	timer := s.Clock.AfterFunc(watchDelay, func() {
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			stopWatch = s.conn.Watch(func() { close(closed) })
		}
	})
	return closed, func() {
		timer.Stop()
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		if stopWatch != nil {
			stopWatch()
		}
	}
}
