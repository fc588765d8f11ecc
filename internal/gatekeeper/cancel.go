package gatekeeper

import (
	"context"
	"crypto/subtle"
	"errors"
	"hash/fnv"
)

// A process id, which a caller gets at login and returns in a cancel request,
// consists of the tag of an instance and the number of a session of that
// instance. The highest bit stays zero, because some clients treat process ids
// as signed.
const (
	tagBits     = 11
	sessionBits = 20
	sessionMask = 1<<sessionBits - 1
	tagMask     = 1<<tagBits - 1
)

// secretBytes is the length of a cancel secret in protocol 3.0, in bytes.
const secretBytes = 4

// ErrUnknownSession is returned for a cancel request that matches no session.
var ErrUnknownSession = errors.New("cancel request matches no session")

// InstanceTag returns the tag of an instance, a hash of its name. If two
// instances have the same tag, a cancel request that does not match a session of
// the first is sent to the other.
func InstanceTag(instance string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(instance))
	return h.Sum32() & tagMask
}

// TagOf returns the instance tag in a process id.
func TagOf(processID uint32) uint32 { return processID >> sessionBits & tagMask }

// Cancel delivers a cancel request to a session of this instance. It returns
// [ErrUnknownSession] if the process id or the secret matches none.
func (g *Gatekeeper) Cancel(ctx context.Context, processID uint32, secret []byte) error {
	g.mu.Lock()
	c, ok := g.sessions[processID]
	g.mu.Unlock()
	if !ok || subtle.ConstantTimeCompare(c.secret, secret) != 1 {
		return ErrUnknownSession
	}
	return c.session.Cancel(ctx)
}

// routeCancel delivers a cancel request to a session of this instance or
// forwards it to the instances with the tag in the process id. It is also
// forwarded if the tag is this instance's but no session matches, because
// another instance may have the same tag.
func (g *Gatekeeper) routeCancel(ctx context.Context, processID uint32, secret []byte) error {
	if len(secret) != secretBytes {
		return ErrUnknownSession
	}
	if TagOf(processID) == InstanceTag(g.cfg.Instance) {
		if err := g.Cancel(ctx, processID, secret); !errors.Is(err, ErrUnknownSession) {
			return err
		}
	}
	if g.deps.ForwardCancel == nil {
		return ErrUnknownSession
	}
	return g.deps.ForwardCancel(ctx, processID, secret)
}
