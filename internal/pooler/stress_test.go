package pooler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Guards against responses and transactions that reach another holder of a
// connection, while connections are released in every state, cancel requests
// are sent, the server closes connections and grants change.
func TestStress(t *testing.T) {
	s := startServer(t, "")
	f := &fixture{primary: "a", grants: map[string]int{"a": 6}}
	p := startPool(t, f, manifest(entryOf("a", s, 20)), nil)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var holders [1 << 16]atomic.Int32
	var served atomic.Int64
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 7))
			for n := 0; ctx.Err() == nil; n++ {
				c, err := p.Acquire(ctx, Request{Group: "g", Server: "a", Class: Class(1 + rng.IntN(3))})
				if err != nil {
					continue
				}
				held := &holders[c.(*handle).processID%(1<<16)]
				if held.Add(1) != 1 {
					t.Error("two holders of one connection")
				}
				if useOnce(t, c, rng, fmt.Sprint(i, "/", n)) {
					served.Add(1)
				}
				held.Add(-1)
				if rng.IntN(20) == 0 {
					c.Discard()
				}
				c.Release()
			}
		})
	}
	wg.Go(func() {
		rng := rand.New(rand.NewPCG(99, 7))
		for ctx.Err() == nil {
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			f.setGrants(map[string]int{"a": rng.IntN(8)})
			if rng.IntN(10) == 0 {
				s.closeConns()
			}
		}
	})
	wg.Wait()
	t.Logf("served=%d", served.Load())
	if served.Load() < 300 {
		t.Errorf("only %d requests served", served.Load())
	}
	if got := statsOf(p, "a"); got.InUse != 0 || got.Waiting != 0 {
		t.Errorf("stats %+v after the end, want nothing in use", got)
	}
}

// useOnce runs one request, checks that its response is its own, and reports
// whether it was answered. The connection may be left in any state.
func useOnce(t *testing.T, c Conn, rng *rand.Rand, sql string) bool {
	cancelDone := make(chan struct{})
	go func() {
		defer close(cancelDone)
		if rng := rand.IntN(50); rng == 0 {
			_ = c.Cancel(context.Background())
		}
	}()
	defer func() {
		if rng.IntN(2) == 0 {
			<-cancelDone
		}
	}()
	if rng.IntN(30) == 0 {
		c.Send(&pgproto3.Query{String: "begin"})
	}
	c.Send(&pgproto3.Query{String: sql})
	if c.Flush() != nil || rng.IntN(30) == 0 {
		return false
	}
	for {
		msg, err := c.Receive()
		if err != nil {
			return false
		}
		done, ok := msg.(*pgproto3.CommandComplete)
		if !ok || string(done.CommandTag) == "begin" {
			continue
		}
		if got := string(done.CommandTag); got != sql {
			t.Errorf("response to %q, want %q", got, sql)
		}
		break
	}
	if rng.IntN(30) == 0 {
		return true
	}
	msg, err := c.Receive()
	_, ready := msg.(*pgproto3.ReadyForQuery)
	return err == nil && ready
}
