package deployer

import (
	"fmt"
	"net"
	"strings"

	"github.com/go-faster/errors"
)

// Third octets of the loopback addresses. Public addresses belong to
// standin-link, which relays to the private ones.
const (
	octetEntry          = 1
	octetServer         = 2
	octetPlatform       = 3
	octetClient         = 4
	octetLink           = 5
	octetEntryPublic    = 11
	octetServerPublic   = 12
	octetPlatformPublic = 13
)

const (
	callerPort      = 6432
	peerPort        = 7432
	adminPort       = 8432
	healthPort      = 8433
	serverPort      = 5432
	replicationPort = 6432
	controlPort     = 9432
	storePort       = 2379
)

// addressScheme assigns IP numbers. Block separates installations that run at
// the same time; zones are numbered from 1, zone 0 is outside all zones.
type addressScheme struct{ block int }

func (b addressScheme) ip(zone, octet, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.block*10+zone, octet, n)
}

func (b addressScheme) address(zone, octet, n, port int) string {
	return fmt.Sprintf("%s:%d", b.ip(zone, octet, n), port)
}

// maxBlocks is the number of installations that can run at the same time on
// one machine.
const maxBlocks = 24

// reserveBlock finds a block that no other installation uses, in this process
// or another one. It is held until the listener is closed.
func reserveBlock() (addressScheme, net.Listener, error) {
	for block := 1; block <= maxBlocks; block++ {
		b := addressScheme{block: block}
		lock, err := net.Listen("tcp", b.address(0, octetLink, 250, controlPort))
		if err == nil {
			return b, lock, nil
		}
	}
	return addressScheme{}, nil, errors.Errorf("%d installations are running already", maxBlocks)
}

// zonePrefix matches every process of a zone.
func (b addressScheme) zonePrefix(zone int) string {
	return fmt.Sprintf("127.%d.0.0/16", b.block*10+zone)
}

// isInZone reports whether an address belongs to the zone.
func (b addressScheme) isInZone(address string, zone int) bool {
	return strings.HasPrefix(address, fmt.Sprintf("127.%d.", b.block*10+zone))
}
