package keyer

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// pollInterval is the longest time until a changed file is noticed.
const pollInterval = time.Second

// Config configures the types of this package that watch files.
type Config struct {
	// Clock times the polling. Nil means the real clock.
	Clock clockwork.Clock
	// Log is logrus' standard logger if nil.
	Log logrus.FieldLogger
}

// watcher holds the newest valid content of a list of files.
type watcher[T any] struct {
	clock  clockwork.Clock
	log    logrus.FieldLogger
	paths  []string
	load   func() (T, error)
	value  atomic.Pointer[T]
	stop   chan struct{}
	closed atomic.Bool
	done   chan struct{}
}

// newWatcher loads the files once and then polls them for changes.
func newWatcher[T any](cfg Config, paths []string, load func() (T, error)) (*watcher[T], error) {
	w := &watcher[T]{
		clock: cfg.Clock,
		log:   cfg.Log,
		paths: paths,
		load:  load,
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	if w.clock == nil {
		w.clock = clockwork.NewRealClock()
	}
	if w.log == nil {
		w.log = logrus.StandardLogger()
	}
	// The versions are read before the content: the first poll sees a change
	// in between.
	stamps := w.fileVersions()
	v, err := load()
	if err != nil {
		return nil, err
	}
	w.value.Store(&v)
	ticker := w.clock.NewTicker(pollInterval)
	go func() {
		defer close(w.done)
		defer ticker.Stop()
		w.poll(ticker, stamps)
	}()
	return w, nil
}

func (w *watcher[T]) get() T { return *w.value.Load() }

// Done is closed when the files are no longer watched.
func (w *watcher[T]) Done() <-chan struct{} { return w.done }

// Close stops watching. The content stays usable.
func (w *watcher[T]) Close() error {
	if !w.closed.Swap(true) {
		close(w.stop)
	}
	<-w.done
	return nil
}

// fileVersion identifies a version of a file.
type fileVersion struct {
	modified time.Time
	size     int64
	mode     os.FileMode
}

func (w *watcher[T]) fileVersions() []fileVersion {
	stamps := make([]fileVersion, len(w.paths))
	for i, path := range w.paths {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = fileVersion{modified: info.ModTime(), size: info.Size(), mode: info.Mode()}
		}
	}
	return stamps
}

// poll loads the files again when one of them changed. After a failure it
// retries at every tick, because certificate and key are replaced one by one.
func (w *watcher[T]) poll(ticker clockwork.Ticker, loaded []fileVersion) {
	failing := false
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.Chan():
		}
		now := w.fileVersions()
		if !failing && equalVersions(now, loaded) {
			continue
		}
		v, err := w.load()
		if err != nil {
			if !failing || !equalVersions(now, loaded) {
				w.log.WithError(err).Error("keyer: changed files are not valid; the previous content stays in use")
			}
			failing, loaded = true, now
			continue
		}
		w.value.Store(&v)
		w.log.WithField("paths", w.paths).Info("keyer: files loaded again")
		failing, loaded = false, now
	}
}

func equalVersions(a, b []fileVersion) bool {
	for i := range a {
		if !a[i].modified.Equal(b[i].modified) || a[i].size != b[i].size || a[i].mode != b[i].mode {
			return false
		}
	}
	return true
}
