package deployer

import (
	"fmt"
	"net"
	"strings"

	"github.com/go-faster/errors"
)

// Third octets of the loopback addresses. Public addresses belong to
// standin-link, which relays each to the direct address of a process.
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

// Ports. The sources of traffic are told apart by IP number, so that all
// processes of a kind have the same ports.
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

// addressScheme assigns the IP numbers of one deployment. Deployments that run
// at the same time have different blocks of second octets. Zones are numbered
// from 1; number 0 stands for processes outside all zones.
type addressScheme struct{ block int }

func (b addressScheme) ip(zone, octet, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.block*10+zone, octet, n)
}

func (b addressScheme) address(zone, octet, n, port int) string {
	return fmt.Sprintf("%s:%d", b.ip(zone, octet, n), port)
}

// maxBlocks is the number of deployments that can run at the same time on one
// machine.
const maxBlocks = 24

// reserveBlock returns a block that no other deployment uses, in this process or
// another one. It stays reserved until the listener is closed.
func reserveBlock() (addressScheme, net.Listener, error) {
	for block := 1; block <= maxBlocks; block++ {
		b := addressScheme{block: block}
		lock, err := net.Listen("tcp", b.address(0, octetLink, 250, controlPort))
		if err == nil {
			return b, lock, nil
		}
	}
	return addressScheme{}, nil, errors.Errorf("%d deployments are running already", maxBlocks)
}

// zonePrefix returns the IP prefix of all processes of a zone.
func (b addressScheme) zonePrefix(zone int) string {
	return fmt.Sprintf("127.%d.0.0/16", b.block*10+zone)
}

// isInZone reports whether an address belongs to the zone.
func (b addressScheme) isInZone(address string, zone int) bool {
	return strings.HasPrefix(address, fmt.Sprintf("127.%d.", b.block*10+zone))
}
