package platform

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Config configures a platform stand-in.
type Config struct {
	// Listen is the address of store and instance list, "127.0.0.1:0" if
	// empty.
	Listen string
	// Control is the address of the control port; there is none if it is
	// empty.
	Control string
	// PublicationLag is the age at which a new instance list is published.
	PublicationLag time.Duration
	// Log is the logger, the standard logger if it is nil.
	Log *logrus.Logger
}
