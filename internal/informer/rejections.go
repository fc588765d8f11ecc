package informer

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// rejectionInterval is the least time between two log lines about one key, whose
	// value may change with every list, and between two summaries.
	rejectionInterval = time.Minute
	// maxRejectedKeys limits the keys that have lines of their own.
	maxRejectedKeys = 16
	// maxRejectionText limits the key and the error in a line, in bytes.
	maxRejectionText = 300
)

// rejections logs entries that name no server, in a bounded number of lines.
type rejections struct {
	log logrus.FieldLogger
	// logged has when a line about the key was last written.
	logged map[string]time.Time
	// others counts the rejected entries of the present list that got no line because
	// there are too many keys.
	others     int
	summarized time.Time
}

func newRejections(log logrus.FieldLogger) *rejections {
	return &rejections{log: log, logged: map[string]time.Time{}}
}

// add logs a rejected entry unless that was done recently.
func (r *rejections) add(key string, err error, now time.Time) {
	key = truncate(key)
	at, known := r.logged[key]
	if known && now.Sub(at) < rejectionInterval {
		return
	}
	if !known && len(r.logged) >= maxRejectedKeys {
		r.forget(now)
	}
	if !known && len(r.logged) >= maxRejectedKeys {
		r.others++
		return
	}
	r.logged[key] = now
	r.log.WithFields(logrus.Fields{"key": key, "error": truncate(err.Error())}).Warn("informer: entry names no backend server to use")
}

// forget removes the keys whose lines are old.
func (r *rejections) forget(now time.Time) {
	for key, at := range r.logged {
		if now.Sub(at) >= rejectionInterval {
			delete(r.logged, key)
		}
	}
}

// endList logs how many entries of the list got no line of their own.
func (r *rejections) endList(now time.Time) {
	if r.others > 0 && (r.summarized.IsZero() || now.Sub(r.summarized) >= rejectionInterval) {
		r.summarized = now
		r.log.WithField("entries", r.others).Warn("informer: more entries name no backend server to use")
	}
	r.others = 0
}

func truncate(text string) string {
	if len(text) > maxRejectionText {
		return text[:maxRejectionText]
	}
	return text
}
