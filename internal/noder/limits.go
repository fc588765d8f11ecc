package noder

import (
	"context"
	"net"
	"syscall"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"marigoldhub.example/hub/internal/budgeter"
	"marigoldhub.example/hub/internal/limiter"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/platform"
)

const (
	// sessionFloor is what each caller's session may hold without the budget, in bytes.
	// Statements of an ordinary size are shorter.
	sessionFloor = 8 << 10
	// budgetShare is the share of the instance's memory limit that long messages, long
	// answers and session state may take together. As much again is left for garbage, and
	// the rest for the process without callers, idle sessions and their floors.
	budgetShare = 1.0 / 6
	// minBudget holds one message of the largest size with its copies.
	minBudget = 4 << 20
	// callerReceiveBuffer, peerReceiveBuffer and probeReceiveBuffer are the sizes of the
	// kernel's receive buffers of accepted connections, in bytes, and sendBuffer that of
	// their send buffers. Unread bytes count toward the memory limit.
	callerReceiveBuffer = 8 << 10
	peerReceiveBuffer   = 32 << 10
	probeReceiveBuffer  = 4 << 10
	sendBuffer          = 64 << 10
	// maxCall is the largest call of another instance in bytes. It holds a statement of the
	// largest size with session values, and the configuration with the list of servers.
	maxCall = 4 << 20
	// maxSharedPlaces is the number of connections to the control port from addresses that
	// are not in the list of instances. All instances of a large fleet may connect before
	// they are listed. It is at most the share sharedPlacesShare of the sockets.
	maxSharedPlaces   = 256
	sharedPlacesShare = 1.0 / 4
	// placesPerInstance is what a listed instance has places for: the connections of its
	// pool, and as many that are being closed.
	placesPerInstance = 2 * messenger.DefaultMaxPerAddress
	// maxLoggedText limits a text in a log line, in bytes: callers choose their ids.
	maxLoggedText = 512
)

// newBudget returns the budget of the memory limit.
func (n *Node) newBudget() *budgeter.Budget {
	return budgeter.New(budgeter.Config{
		Bytes: max(int64(float64(n.settings.MemoryBytes)*budgetShare), minBudget), Floor: sessionFloor,
		Clock: n.clock, Metrics: n.metrics, Refusals: budgeter.NewRefusals(n.metrics, n.log),
	})
}

// maxSessions returns how many callers' sessions the descriptors suffice for.
func maxSessions(s platform.Settings) int {
	return max(s.MaxFileDescriptors-reservedFileDescriptors, minSessions)
}

// minSessions are accepted however few descriptors the settings allow.
const minSessions = 100

// listen listens with receive buffers of the size for the accepted connections, and send
// buffers of sendBuffer, and counts their sockets. They are set before the connections exist, because a window that has
// been offered cannot shrink. Without them the instance works, but unread bytes may take more
// memory.
func (n *Node) listen(address string, receiveBuffer int, u *limiter.Use) (*limiter.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
			if err == nil {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
			}
			if err != nil {
				n.log.WithError(err).WithField("address", address).Warn("noder: buffers of accepted connections cannot be set")
			}
		})
	}}
	l, err := cfg.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return u.Listen(l), nil
}

// textLimitHook shortens long texts in log lines.
type textLimitHook struct{}

// Levels implements [logrus.Hook].
func (textLimitHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements [logrus.Hook].
func (textLimitHook) Fire(e *logrus.Entry) error {
	for key, value := range e.Data {
		if text, ok := value.(string); ok && len(text) > maxLoggedText {
			e.Data[key] = text[:maxLoggedText] + "..."
		}
	}
	return nil
}
