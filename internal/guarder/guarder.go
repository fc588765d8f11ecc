// Package guarder keeps a panic in the work for one caller, or for one other
// instance, from ending the process and the work of all others.
package guarder

import (
	"fmt"
	"runtime/debug"

	"github.com/sirupsen/logrus"
)

// maxStack bounds the logged stack in bytes.
const maxStack = 4 << 10

// Recover ends a panic of the goroutine and logs it. It must be deferred directly.
// What the work held has to be released by deferred calls of its own.
func Recover(log logrus.FieldLogger, work string) {
	v := recover()
	if v == nil {
		return
	}
	stack := debug.Stack()
	log.WithFields(logrus.Fields{
		"work": work, "panic": fmt.Sprint(v), "stack": string(stack[:min(len(stack), maxStack)]),
	}).Error("guarder: work was ended by an unexpected error")
}
