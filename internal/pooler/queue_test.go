package pooler

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"
)

// Guards against more open connections than granted, and against waiters that
// are not served in order of class and then arrival.
func TestQueueOrder(t *testing.T) {
	s := startServer(t, "secret")
	p := startPool(t, &fixture{grants: map[string]int{"a": 1}}, manifest(entryOf("a", s, 20)), nil)
	waitFor(t, "the grant", func() bool { return statsOf(p, "a").Allowance == 1 })
	first := acquire(t, p, Write)
	classes := []Class{BoundedRead, StrictRead, Write, BoundedRead, Write, StrictRead}
	var mu sync.Mutex
	var served []int
	var wg sync.WaitGroup
	for i, class := range classes {
		wg.Go(func() {
			c := acquire(t, p, class)
			mu.Lock()
			served = append(served, i)
			mu.Unlock()
			c.Release()
		})
		waitFor(t, "the waiter", func() bool { return statsOf(p, "a").Waiting == i+1 })
	}
	first.Release()
	wg.Wait()
	if want := []int{2, 4, 1, 5, 0, 3}; !slices.Equal(served, want) {
		t.Errorf("served in order %v, want %v", served, want)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mostOpen > 2 {
		t.Errorf("%d connections open at the server, want at most the 2 that are allowed without a grant", s.mostOpen)
	}
}

// Guards against an unbounded queue, and against writes being refused while
// bounded reads wait.
func TestQueueOverload(t *testing.T) {
	s := startServer(t, "secret")
	p := startPool(t, &fixture{grants: map[string]int{"a": 1}}, manifest(entryOf("a", s, 20)), nil)
	waitFor(t, "the grant", func() bool { return statsOf(p, "a").Allowance == 1 })
	first := acquire(t, p, Write)
	defer first.Discard()
	request := func(class Class) Reason {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c, err := p.Acquire(ctx, Request{Group: "g", Server: "a", Class: class})
		if err == nil {
			c.Release()
		}
		return reasonOf(err)
	}
	reasons := make(chan Reason, QueueLimit)
	for range QueueLimit {
		go func() { reasons <- request(BoundedRead) }()
	}
	waitFor(t, "a full queue", func() bool { return statsOf(p, "a").Waiting == QueueLimit })
	if got := request(BoundedRead); got != ReasonQueueFull {
		t.Errorf("reason %q for a read above the queue limit, want queue_full", got)
	}
	go request(Write)
	if got := <-reasons; got != ReasonQueueFull {
		t.Errorf("reason %q for the read that a write displaces, want queue_full", got)
	}
	for range QueueLimit - 1 {
		if got := <-reasons; got != ReasonDeadline {
			t.Fatalf("reason %q at the deadline, want deadline", got)
		}
	}
}

// Guards against bounded reads that take more than half of a primary's
// connections.
func TestBoundedReadsUseHalfOfPrimary(t *testing.T) {
	s := startServer(t, "secret")
	f := &fixture{primary: "a", grants: map[string]int{"a": 4}}
	p := startPool(t, f, manifest(entryOf("a", s, 20)), nil)
	waitFor(t, "the grant", func() bool { return statsOf(p, "a").Allowance == 4 })
	reads := []Conn{acquire(t, p, BoundedRead), acquire(t, p, BoundedRead)}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := p.Acquire(ctx, Request{Group: "g", Server: "a", Class: BoundedRead})
	if got := reasonOf(err); got != ReasonDeadline {
		t.Errorf("reason %q for the third read, want deadline", got)
	}
	writes := []Conn{acquire(t, p, Write), acquire(t, p, Write)}
	reads[0].Release()
	reads = append(reads[1:], acquire(t, p, BoundedRead))
	for _, c := range append(reads, writes...) {
		c.Release()
	}
}
