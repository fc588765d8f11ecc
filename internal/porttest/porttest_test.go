package porttest_test

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"testing"

	"marigoldhub.example/hub/internal/porttest"
)

// Guards against a port that something else takes before the test listens on it, or while its
// server is restarted: TestSwitchoverAfterRestart failed once by that.
func TestPortIsNotAssignedToOthers(t *testing.T) {
	lowest, highest := 32768, 0
	if data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		if _, err := fmt.Sscan(string(data), &lowest, &highest); err != nil {
			t.Fatal(err)
		}
	}
	address := porttest.FreeAddress(t)
	if port := int(netip.MustParseAddrPort(address).Port()); port >= lowest {
		t.Errorf("the system assigns ports from %d on, got %d", lowest, port)
	}
}

// Guards against two tests with the same address, also in two processes.
func TestAddressIsGivenOutOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 300 {
		address := porttest.FreeAddress(t)
		if seen[address] {
			t.Fatalf("%s is given out twice", address)
		}
		seen[address] = true
		if l, err := net.ListenPacket("udp4", address); err == nil {
			l.Close()
			t.Fatalf("%s is not marked as taken for other processes", address)
		}
		l, err := net.Listen("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
	}
}
