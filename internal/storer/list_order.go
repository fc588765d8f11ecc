package storer

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// olderListsLogAfter is how long lists may be older than the last accepted one before
// that is logged. Stale reads may lag by seconds.
const olderListsLogAfter = 5 * time.Second

// ListOrder accepts lists in ascending order of their revisions, because a stale read
// may return a list that is older than a known one. It is not safe for concurrent use.
type ListOrder struct {
	clock clockwork.Clock
	log   logrus.FieldLogger
	last  int64
	// olderSince is when the first of the lists was rejected that have been rejected
	// since the last accepted one; zero if there is none.
	olderSince time.Time
	logged     bool
}

// NewListOrder returns an order for lists of the keys with the prefix. It has accepted
// no list yet.
func NewListOrder(prefix string, clock clockwork.Clock, log logrus.FieldLogger) *ListOrder {
	return &ListOrder{clock: clock, log: log.WithField("prefix", prefix)}
}

// Accept reports whether a list of the revision is as new as the last accepted one, and
// records it if so.
func (o *ListOrder) Accept(revision int64) bool {
	if revision >= o.last {
		if o.logged {
			o.log.WithFields(logrus.Fields{"revision": FormatRevision(revision), "last_revision": FormatRevision(o.last), "rejected_for": o.clock.Since(o.olderSince).String()}).
				Info("storer: lists are accepted again")
		}
		o.last, o.olderSince, o.logged = revision, time.Time{}, false
		return true
	}
	if o.olderSince.IsZero() {
		o.olderSince = o.clock.Now()
	}
	if !o.logged && o.clock.Since(o.olderSince) >= olderListsLogAfter {
		o.logged = true
		o.log.WithFields(logrus.Fields{"revision": FormatRevision(revision), "last_revision": FormatRevision(o.last)}).
			Warn("storer: lists are rejected because they are older than the last one")
	}
	return false
}
