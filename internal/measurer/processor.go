package measurer

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// clockTick is the unit of processor times in /proc/<pid>/stat, see
	// proc_pid_stat(5).
	clockTick = 10 * time.Millisecond
	// userTimeField is the index of utime after the command's name; stime
	// follows it.
	userTimeField = 11
)

// processorTime returns the user and system time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The command's name stands in parentheses and can hold spaces.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) < userTimeField+2 {
		return 0, errors.Errorf("unexpected form of /proc/%d/stat", pid)
	}
	ticks := int64(0)
	for _, f := range fields[userTimeField : userTimeField+2] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}
