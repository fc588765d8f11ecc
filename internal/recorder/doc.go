// Package recorder keeps the timeline of one process: its newest events in a
// ring buffer. It also merges and prints the timelines of several processes.
//
// Each event carries a Lamport time. Each message between processes that has a
// header carries the sender's Lamport time, and the receiver advances its own to
// at least that, so that a cause sorts before its effect whatever the wall
// clocks say. Wall time only orders events that are not related.
package recorder
