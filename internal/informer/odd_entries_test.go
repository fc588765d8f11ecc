package informer_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/informer"
)

// lines collects log lines.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

// about returns the lines that contain the text.
func (l *lines) about(text string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(strings.Split(l.b.String(), "\n"), func(line string) bool { return !strings.Contains(line, text) })
}

// Guards against entries of other writers that end the following of the list, are passed
// on to other instances, or fill the log: a large one, many, and one that changes in
// each list.
func TestOddEntries(t *testing.T) {
	out := &lines{}
	f := start(t, func(c *informer.Config) {
		log := logrus.New()
		log.SetOutput(out)
		c.Log = log
	})
	for i := range 300 {
		f.store.Put(fmt.Sprintf("backend/odd-%d", i), []byte(`{"Slots":`+strings.Repeat("9", 1000)+`}`))
	}
	f.store.Put("backend/large", bytes.Repeat([]byte("["), 1<<20))
	f.store.Put("backend/good", encode(t, informer.Server{Service: "s", Address: "a"}))
	stop := make(chan struct{})
	var changing sync.WaitGroup
	changing.Go(func() {
		for i := 0; ; i++ {
			f.store.Put("backend/changing", fmt.Appendf(nil, `{"Service":%d}`, i))
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	defer changing.Wait()
	defer close(stop)
	eventually(t, "the server is listed", func() bool { return len(f.informer.State().ServersOf("s")) == 1 })
	time.Sleep(500 * time.Millisecond)
	f.store.Put("backend/next", encode(t, informer.Server{Service: "s", Address: "b"}))
	eventually(t, "the next change is seen", func() bool { return len(f.informer.State().ServersOf("s")) == 2 })
	if n := len(f.informer.List().Entries); n != 2 {
		t.Errorf("%d entries are passed on to other instances, want the 2 servers", n)
	}
	odd := out.about("no backend server to use")
	if n := len(odd); n == 0 || n > 30 {
		t.Errorf("%d lines about entries that name no server, want some, at most 30", n)
	}
	for _, line := range odd {
		if len(line) > 1000 {
			t.Errorf("a line has %d bytes: %.200s", len(line), line)
			break
		}
	}
}

// Guards against an entry of another writer in the place of a known server's: the server
// would not be used, and a primary would be replaced, until its next heartbeat.
func TestEntryInThePlaceOfAServer(t *testing.T) {
	for _, tc := range []struct {
		name  string
		entry informer.Server
		want  string
	}{
		{"another service", informer.Server{Service: "odd", Address: "a", Born: 5}, "a"},
		{"another address", informer.Server{Service: "s", Address: "odd", Born: 5}, "a"},
		{"an earlier start", informer.Server{Service: "s", Address: "odd", Born: 4}, "a"},
		{"a later start: the server has moved", informer.Server{Service: "s", Address: "b", Born: 6}, "b"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := start(t, func(c *informer.Config) { c.RemoveAfter = time.Minute })
			f.store.Put("backend/x", encode(t, informer.Server{Service: "s", Address: "a", Born: 5}))
			eventually(t, "x is listed", func() bool { return len(f.informer.State().ServersOf("s")) == 1 })
			f.store.Put("backend/x", encode(t, tc.entry))
			f.store.Put("backend/y", encode(t, informer.Server{Service: "t", Address: "c", Born: 5}))
			eventually(t, "the list is read", func() bool { return len(f.informer.State().ServersOf("t")) == 1 })
			list := f.informer.State().ServersOf("s")
			if len(list) != 1 || list[0].Address != tc.want {
				t.Errorf("%+v, want x at %s", list, tc.want)
			}
		})
	}
}
