package link

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo starts a target that sends everything back.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

func startRelay(t *testing.T, delay time.Duration) *Relay {
	t.Helper()
	r, err := Start(Config{Links: []Link{{Name: "a", Listen: "127.0.0.1:0", Target: echo(t), Delay: Duration(delay)}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *Relay, source string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	c, err := d.Dial("tcp", r.Addr("a"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// roundTrip sends a word and waits for its return.
func roundTrip(c net.Conn, wait time.Duration) error {
	c.SetDeadline(time.Now().Add(wait))
	if _, err := c.Write([]byte("word")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 4))
	return err
}

const shortWait = 100 * time.Millisecond

// Guards against a cut that affects other senders, closes connections, or
// leaves a stream with a hole after it ends.
func TestCutOneWay(t *testing.T) {
	cases := []struct {
		name     string
		rule     Rule
		arriving int64
	}{
		{"to target", Rule{Source: "127.1.0.1", Link: "a", CutToTarget: true}, 0},
		{"to source", Rule{Source: "127.1.0.0/24", CutToSource: true}, 4},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := startRelay(t, 0)
			c, other := dial(t, r, "127.1.0.1"), dial(t, r, "127.2.0.1")
			if err := roundTrip(c, time.Second); err != nil {
				t.Fatal(err)
			}
			if err := r.SetRule(tc.rule); err != nil {
				t.Fatal(err)
			}
			if err := roundTrip(c, shortWait); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("cut connection: %v", err)
			}
			if got := r.Bytes()[0].ToSource - 4; got != tc.arriving {
				t.Errorf("target answered %d bytes, want %d", got, tc.arriving)
			}
			fresh := dial(t, r, "127.1.0.1")
			if err := roundTrip(fresh, shortWait); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("new connection during the cut: %v", err)
			}
			if err := roundTrip(other, time.Second); err != nil {
				t.Errorf("other sender: %v", err)
			}
			r.ClearRules()
			if err := roundTrip(c, time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("connection that lost bytes: %v", err)
			}
			if err := roundTrip(fresh, time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("connection opened during the cut: %v", err)
			}
			if err := roundTrip(dial(t, r, "127.1.0.1"), time.Second); err != nil {
				t.Errorf("new connection after the cut: %v", err)
			}
		})
	}
}

// Guards against a quiet connection that a cut breaks.
func TestQuietConnectionSurvivesCut(t *testing.T) {
	r := startRelay(t, 0)
	c := dial(t, r, "127.1.0.1")
	if err := roundTrip(c, time.Second); err != nil {
		t.Fatal(err)
	}
	if err := r.SetRule(Rule{CutToTarget: true, CutToSource: true}); err != nil {
		t.Fatal(err)
	}
	r.ClearRules()
	if err := roundTrip(c, time.Second); err != nil {
		t.Error(err)
	}
}

// Guards against a freeze that loses bytes and a reset that leaves connections
// open.
func TestFreezeAndReset(t *testing.T) {
	r := startRelay(t, 0)
	c := dial(t, r, "127.1.0.1")
	if err := r.SetRule(Rule{Link: "a*", Freeze: true}); err != nil {
		t.Fatal(err)
	}
	if err := roundTrip(c, shortWait); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("frozen connection: %v", err)
	}
	r.ClearRules()
	c.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.ReadFull(c, make([]byte, 4)); err != nil {
		t.Errorf("after the freeze: %v", err)
	}
	if err := r.SetRule(Rule{Reset: true}); err != nil {
		t.Fatal(err)
	}
	if err := roundTrip(c, time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after the reset: %v", err)
	}
}

// Guards against a delay that applies once per chunk in sequence and so limits
// bandwidth.
func TestDelayKeepsBandwidth(t *testing.T) {
	r := startRelay(t, 20*time.Millisecond)
	c := dial(t, r, "127.1.0.1")
	if err := roundTrip(c, time.Second); err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	if err := roundTrip(c, time.Second); err != nil {
		t.Fatal(err)
	}
	if d := time.Since(begin); d < 40*time.Millisecond || d > 200*time.Millisecond {
		t.Errorf("round trip took %v, want about 40ms", d)
	}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	data := bytes.Repeat([]byte("marigold"), 2<<20)
	go c.Write(data)
	begin = time.Now()
	got := make([]byte, len(data))
	if _, err := io.ReadFull(c, got); err != nil {
		t.Fatal(err)
	}
	if d := time.Since(begin); d > 3*time.Second {
		t.Errorf("16 MiB took %v", d)
	}
	if !bytes.Equal(got, data) {
		t.Error("bytes changed on the way")
	}
}

// Guards against an end of stream that the relay keeps.
func TestEndOfStream(t *testing.T) {
	r := startRelay(t, time.Millisecond)
	c := dial(t, r, "127.1.0.1")
	c.SetDeadline(time.Now().Add(time.Second))
	if _, err := c.Write([]byte("last")); err != nil {
		t.Fatal(err)
	}
	c.(*net.TCPConn).CloseWrite()
	if got, err := io.ReadAll(c); err != nil || string(got) != "last" {
		t.Errorf("got %q, %v", got, err)
	}
}

// Guards against configuration files whose mistakes pass silently.
func TestLoad(t *testing.T) {
	cases := []struct{ name, text, fault string }{
		{"a.toml", "[[link]]\nname = 'a'\nlisten = 'x'\ntarget = 'y'\ndelay = '1.5ms'\n", ""},
		{"a.json", `{"link": [{"name": "a", "listen": "x", "target": "y", "delay": "1.5ms"}]}`, ""},
		{"b.toml", "[[link]]\nnmae = 'a'\n", "strict mode"},
		{"b.json", `{"links": []}`, "unknown field"},
	}
	for _, tc := range cases {
		path := filepath.Join(t.TempDir(), tc.name)
		if err := os.WriteFile(path, []byte(tc.text), 0o644); err != nil {
			t.Fatal(err)
		}
		cfg, err := Load(path)
		if tc.fault != "" {
			if err == nil || !strings.Contains(err.Error(), tc.fault) {
				t.Errorf("%s: got %v", tc.name, err)
			}
			continue
		}
		if err != nil || cfg.Links[0].Delay != Duration(1500*time.Microsecond) {
			t.Errorf("%s: got %+v, %v", tc.name, cfg, err)
		}
	}
}
