// Package porttest gives tests addresses on which they, or processes that they start, can
// listen later and again.
package porttest

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// The ports are below the range from which the system assigns ports to outgoing
// connections and to listeners without a port of their own.
const (
	firstPort = 20000
	lastPort  = 31999
	// processStride is the number of ports between the first ones of two processes with
	// successive ids, which often run at the same time.
	processStride = 64
)

var next = struct {
	mu   sync.Mutex
	port int
}{port: firstPort + os.Getpid()*processStride%(lastPort-firstPort)}

// FreeAddress returns a loopback address that no other test gets until the test ends,
// also in other processes: a UDP socket of the same number marks the port as taken.
func FreeAddress(t testing.TB) string {
	t.Helper()
	next.mu.Lock()
	defer next.mu.Unlock()
	for range lastPort - firstPort {
		if next.port++; next.port > lastPort {
			next.port = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", next.port)
		mark, err := net.ListenPacket("udp4", address)
		if err != nil {
			continue
		}
		if l, err := net.Listen("tcp4", address); err == nil {
			l.Close()
			t.Cleanup(func() { mark.Close() })
			return address
		}
		mark.Close()
	}
	t.Fatal("no free port")
	return ""
}
