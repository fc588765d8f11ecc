package sampler

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// clockTick is the unit of processor times in /proc, USER_HZ, which is 100 on
// every Linux architecture that Go supports.
const clockTick = 10 * time.Millisecond

// processorTime returns the user and system time of a process (proc(5),
// fields 14 and 15 of stat).
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The second field is a name in parentheses that may hold spaces.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) < 13 {
		return 0, errors.Errorf("stat of process %d has %d fields", pid, len(fields))
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, err
}

// residentKB returns the resident memory of a process in KB.
func residentKB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "VmRSS:" {
			return strconv.ParseFloat(fields[1], 64)
		}
	}
	return 0, errors.Errorf("status of process %d has no VmRSS", pid)
}
