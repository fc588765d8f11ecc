//go:build review

// Package standin plays the cases of the second review: it starts marigold-node
// processes as the deploy file says, with stand-ins for the store, the servers and the
// clients, and judges what these see.
package standin

import (
	"fmt"
	"os"
	"testing"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the plays by name. Each returns the breaks of its rule.
var cases = map[string]func(w *world, trouble bool) (breaks []string, err error){
	"open_transaction":  playOpenTransaction,
	"restarted_replica": playRestartedReplica,
}

// TestMain plays the case that the environment names; it runs no tests.
func TestMain(*testing.M) { os.Exit(run()) }

func run() int {
	play, ok := cases[os.Getenv("REVIEW_CASE")]
	if !ok {
		fmt.Fprintln(os.Stderr, "REVIEW_CASE names no case")
		return exitNotRun
	}
	rec, err := newRecord(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %v", os.Getenv("REVIEW_CASE"), trouble)
	w, err := newWorld(rec, os.Getenv("REVIEW_NODE"))
	if err != nil {
		rec.note("not run: %v", err)
		return exitNotRun
	}
	defer w.close()
	breaks, err := play(w, trouble)
	switch {
	case err != nil:
		rec.note("not run: %v", err)
		return exitNotRun
	case len(breaks) > 0:
		for _, b := range breaks {
			rec.note("BROKEN %s", b)
		}
		rec.note("the rule was broken %d times", len(breaks))
		return exitBroken
	}
	rec.note("the rule held")
	return exitHeld
}
