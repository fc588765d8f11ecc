// Package guarder recovers from panics in the work for one caller, or for one other
// instance, so that they do not end the process and the work of all others.
package guarder

import (
	"fmt"
	"runtime/debug"

	"github.com/sirupsen/logrus"
)

// maxStack limits the logged stack trace, in bytes.
const maxStack = 4 << 10

// Recover recovers from a panic of the goroutine and logs it with the name of the
// work. It must be deferred directly. Resources that the work holds must be released
// by deferred calls of its own.
func Recover(log logrus.FieldLogger, work string) {
	v := recover()
	if v == nil {
		return
	}
	stack := debug.Stack()
	log.WithFields(logrus.Fields{
		"work": work, "panic": fmt.Sprint(v), "stack": string(stack[:min(len(stack), maxStack)]),
	}).Error("guarder: recovered from a panic")
}
