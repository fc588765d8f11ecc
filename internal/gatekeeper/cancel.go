package gatekeeper

import (
	"context"
	"crypto/subtle"
	"errors"
	"hash/fnv"
)

// A process id names an instance by tag and a session of that instance. The
// highest bit stays zero, because some clients treat process ids as signed.
const (
	tagBits     = 11
	sessionBits = 20
	sessionMask = 1<<sessionBits - 1
	tagMask     = 1<<tagBits - 1
)

// secretBytes is the length of a cancel secret in protocol 3.0.
const secretBytes = 4

// ErrUnknownSession is returned for a cancel request that matches no session.
var ErrUnknownSession = errors.New("cancel request matches no session")

// InstanceTag returns the tag of an instance name. Two instances may have the
// same tag; a cancel request is then delivered to both.
func InstanceTag(instance string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(instance))
	return h.Sum32() & tagMask
}

// TagOf returns the tag of the instance that a process id names.
func TagOf(processID uint32) uint32 { return processID >> sessionBits & tagMask }

// Cancel delivers a cancel request to a session of this instance.
func (g *Gatekeeper) Cancel(ctx context.Context, processID uint32, secret []byte) error {
	g.mu.Lock()
	e, ok := g.sessions[processID]
	g.mu.Unlock()
	if !ok || subtle.ConstantTimeCompare(e.secret, secret) != 1 {
		return ErrUnknownSession
	}
	return e.session.Cancel(ctx)
}

// routeCancel delivers a cancel request here or to another instance. Instances
// with the same tag are asked when no session here matches.
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
