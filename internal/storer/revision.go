package storer

import "fmt"

// A revision has two parts: the epoch of the store, and the number that the store gave
// out in that epoch. An epoch begins when the store is restored from an older copy of
// its data: its numbers go back then and are given out again. The epoch has the higher
// bits, so that revisions compare correctly across restores.

// numberBits is the size of a revision's number. It lasts for 87 years at 400 changes
// a second.
const numberBits = 40

// MaxEpoch is the highest epoch that a revision can have.
const MaxEpoch = 1<<(63-numberBits) - 1

// NewRevision returns the revision with the number in the epoch.
func NewRevision(epoch, number int64) int64 { return epoch<<numberBits | number }

// Epoch returns the revision's epoch; 0 if the store does not report one.
func Epoch(revision int64) int64 { return revision >> numberBits }

// Number returns the revision's number in its epoch.
func Number(revision int64) int64 { return revision & (1<<numberBits - 1) }

// FormatRevision returns the revision as "EPOCH/NUMBER", or as a number if it has no
// epoch.
func FormatRevision(revision int64) string {
	if Epoch(revision) == 0 {
		return fmt.Sprint(revision)
	}
	return fmt.Sprintf("%d/%d", Epoch(revision), Number(revision))
}
