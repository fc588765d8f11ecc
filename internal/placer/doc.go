// Package placer decides where a read runs, how connections are shared and how
// long a request waits. Its functions use no network and no clock.
package placer
