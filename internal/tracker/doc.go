// Package tracker holds what is known about database groups: positions,
// lineages, server statuses and the view that routing decisions use.
//
// A position is a pair (term, offset). Offsets grow along the whole log of a
// group and are never reused within one lineage. A position is confirmed when
// a majority of the group stores it in its own term; a confirmed position is
// part of every later lineage. A term is established when the first record of
// that term is confirmed.
//
// All types except [Tracker] are immutable values: a change makes a new value
// through a With method.
package tracker
