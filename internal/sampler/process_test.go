package sampler

import (
	"os"
	"testing"
	"time"
)

// Guards against wrong fields of /proc: a busy loop must show as processor
// time of this process, and memory as a plausible size.
func TestProcess(t *testing.T) {
	before, err := processorTime(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	for begin := time.Now(); time.Since(begin) < 200*time.Millisecond; {
	}
	after, err := processorTime(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if after <= before {
		t.Errorf("processor time went from %v to %v", before, after)
	}
	if kb, err := residentKB(os.Getpid()); err != nil || kb < 1000 || kb > 4e6 {
		t.Errorf("resident %g KB, %v", kb, err)
	}
}
