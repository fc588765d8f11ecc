// Package recorder keeps the timeline of one process: a bounded ring of
// events.
//
// Events carry a Lamport time. Every message between processes carries the
// sender's Lamport time, and the receiver advances past it, so that an event
// that caused another sorts before it whatever the wall clocks say. Wall time
// only orders events that are not related.
package recorder
