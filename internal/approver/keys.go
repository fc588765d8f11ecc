package approver

import (
	"fmt"
	"strings"

	"marigoldhub.example/hub/internal/checker"
)

// Prefixes and keys in the store.
const (
	// CurrentPrefix precedes the part's name; the value is the active envelope.
	CurrentPrefix = "/marigold/current/"
	// CatalogKey changes with every envelope that is activated. Comparing it
	// prevents two conflicting parts from being activated at the same time, and
	// reading it reveals a watch that missed a change.
	CatalogKey = "/marigold/catalog"

	proposalPrefix = "/marigold/proposals/"
	historyPrefix  = "/marigold/history/"
	counterPrefix  = "/marigold/counter/"
)

// OwnersHistoryPrefix is the prefix of the owners chain's revisions.
const OwnersHistoryPrefix = historyPrefix + checker.OwnersPart + "/"

func currentKey(part string) string  { return CurrentPrefix + part }
func proposalKey(part string) string { return proposalPrefix + part }
func counterKey(part string) string  { return counterPrefix + part }

// historyKey pads the revision with zeros, so that keys sort by revision.
func historyKey(part string, revision uint64) string {
	return fmt.Sprintf("%s%s/%020d", historyPrefix, part, revision)
}

// partName returns the part's name in a key that has nothing after the name.
func partName(key, prefix string) string { return strings.TrimPrefix(key, prefix) }
