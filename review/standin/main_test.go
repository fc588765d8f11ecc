//go:build review

package standin

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by their numbers.
var cases = map[int]func(*world, bool) error{}

// TestMain runs one script instead of tests: the program is built by `go test -c` only
// because the names of the platform's wire may stand in test files.
func TestMain(m *testing.M) {
	number := flag.Int("case", 0, "number of the script to run")
	record := flag.String("record", "", "file for the record")
	trouble := flag.Bool("trouble", true, "run the script with its disruption")
	program := flag.String("program", "target/marigold-node", "program of the instances")
	flag.Parse()
	run := cases[*number]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no script with this number")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run, *record, *program, *trouble))
}

// caseLimit is the longest time of a script.
const caseLimit = 110 * time.Second

func runCase(run func(*world, bool) error, record, program string, trouble bool) int {
	w, err := newWorld(record, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the script could not start:", err)
		return exitNotRun
	}
	defer w.close()
	result := make(chan error, 1)
	go func() { result <- run(w, trouble) }()
	select {
	case err = <-result:
	case <-time.After(caseLimit):
		err = fmt.Errorf("the script took longer than %v", caseLimit)
	}
	if err != nil {
		w.note("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	if broken := w.broken(); len(broken) > 0 {
		w.note("broken: %d findings", len(broken))
		fmt.Printf("broken: %d findings, the first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	w.note("held")
	fmt.Println("held")
	return exitHeld
}
