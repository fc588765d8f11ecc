//go:build review

package standin3

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	drainTime     = 7 * time.Second
	stabilityTime = 4 * time.Second
	// outageTime is how long the store is away, and freezeTime how long the coordinator stands
	// still; both are the longest of the site file.
	outageTime = 4500 * time.Millisecond
	freezeTime = 4 * time.Second
	// rounds is how often a primary is replaced.
	rounds = 3
	// liveKey is the key of the coordinator, which is written under a condition.
	liveKey = "marigold/duty/live"
)

// cases are the cases by their folders.
var cases = map[string]func(r *record, dir string, trouble bool) (broken string){
	"11": drainTimeAfterAnOutage,
}

// drainTimeAfterAnOutage replaces the primary while the store is away.
func drainTimeAfterAnOutage(r *record, dir string, trouble bool) (broken string) {
	w := newWorld(r)
	w.putConfiguration()
	instances := w.newInstances(dir, 4)
	for _, in := range instances {
		in.start()
	}
	awaitReady(instances)
	end := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	origin, served := map[string]string{}, 0
	for i, in := range instances {
		wg.Go(func() {
			var s *caller
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(60 * time.Millisecond):
				}
				if s == nil {
					if s = dial(in, "orders"); s == nil {
						continue
					}
				}
				id, text := newID(), "FETCH counter"
				if (n+i)%5 == 0 {
					text = fmt.Sprintf("PUT counter %s", id)
				}
				mu.Lock()
				origin[id] = in.name
				mu.Unlock()
				r.add("caller at %s sends %s %s", in.name, id, text)
				_, answer := s.query(id, text, 2*time.Second)
				r.add("caller gets for %s: %q", id, answer)
				if strings.HasPrefix(answer, "COMPLETE") {
					mu.Lock()
					served++
					mu.Unlock()
				}
				if answer == "" {
					s.c.Close()
					s = nil
				}
			}
		})
	}
	time.Sleep(2 * stabilityTime)
	var late []string
	for round := range rounds {
		late = append(late, w.replacePrimary(round, instances, trouble, func(id string) string {
			mu.Lock()
			defer mu.Unlock()
			return origin[id]
		})...)
	}
	close(end)
	wg.Wait()
	if served < 100 {
		fail(fmt.Errorf("only %d operations were served", served))
	}
	if len(late) == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d statements, the first: %s", len(late), late[0])
}

// replacePrimary starts a new server, makes the primary drain, and returns the statements that
// reached it too late.
func (w *world) replacePrimary(round int, instances []*instance, trouble bool, origin func(id string) string) (late []string) {
	w.mu.Lock()
	p := w.primary()
	next := &backend{id: fmt.Sprintf("i-%04x", 0x8f30+round), role: "replica", born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
	w.backends = append(w.backends, next)
	w.mu.Unlock()
	w.listen(next, "127.0.0.1:0")
	w.beat(next)
	w.add("server %s has been started", next.id)
	time.Sleep(3 * time.Second)

	w.mu.Lock()
	p.draining = true
	w.mu.Unlock()
	w.beat(p)
	acknowledged := time.Now()
	w.add("the store has acknowledged that %s drains", p.id)
	// inTouch is from when the store and the instances are in touch, frozen one that is not.
	inTouch, frozen := acknowledged, ""
	if trouble {
		time.Sleep(10 * time.Millisecond)
		inTouch, frozen = w.storeOutage(p, instances)
	}
	time.Sleep(time.Until(acknowledged.Add(drainTime + 6*time.Second)))
	w.mu.Lock()
	for _, a := range w.arrivals {
		after := a.at.Sub(acknowledged)
		if a.server != p.id || after <= drainTime || a.at.Before(inTouch) || a.sender == frozen || origin(a.id) == frozen {
			continue
		}
		late = append(late, fmt.Sprintf("%s reached %s from %s %.3f s after the store had acknowledged that it drains", a.id, p.id, a.sender, after.Seconds()))
	}
	w.mu.Unlock()
	for _, l := range late {
		w.add("DRAIN: %s", l)
	}
	w.stop(p)
	w.store.Delete("servers/" + p.id)
	return late
}

// storeOutage makes the store silent, and lets the entries and the leases lapse. The
// coordinator that follows freezes. It returns from when the others are in touch, and the name
// of the frozen one.
func (w *world) storeOutage(p *backend, instances []*instance) (inTouch time.Time, frozen string) {
	w.add("the store is away")
	w.setHeartbeats(false)
	w.setStoreSilent(true)
	time.Sleep(outageTime)
	w.store.ExpireLeases()
	w.mu.Lock()
	all := append([]*backend(nil), w.backends...)
	w.mu.Unlock()
	for _, b := range all {
		w.store.Delete("servers/" + b.id)
	}
	w.setStoreSilent(false)
	back := time.Now()
	w.add("the store is back, without the servers' entries")
	time.Sleep(200 * time.Millisecond)
	for _, b := range all {
		if b != p && !b.down {
			w.beat(b)
		}
	}
	// The entry of the primary is back within two seconds.
	for time.Since(back) < 1900*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
		if name := w.coordinator(); name != "" && time.Since(back) > 1200*time.Millisecond {
			frozen = name
			break
		}
	}
	for _, in := range instances {
		if in.name == frozen {
			w.add("%s freezes", frozen)
			in.process.Process.Signal(syscall.SIGSTOP)
			time.AfterFunc(freezeTime, func() {
				in.process.Process.Signal(syscall.SIGCONT)
				w.add("%s goes on", in.name)
			})
		}
	}
	time.Sleep(50 * time.Millisecond)
	w.setHeartbeats(true)
	w.beat(p)
	w.add("the entry of %s is back", p.id)
	return back.Add(stabilityTime), frozen
}

// coordinator returns the instance that has the role, which it has written to the store.
func (w *world) coordinator() string {
	e, ok, err := w.store.Get(context.Background(), liveKey)
	if err != nil || !ok {
		return ""
	}
	return string(e.Value)
}
