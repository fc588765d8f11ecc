// Package gatekeeper accepts caller connections and authenticates them.
//
// Nothing that an unauthenticated peer sends costs more than a bounded share
// of memory and time: their number, the size of their messages and the time
// until authentication are limited. Unknown callers go through the same
// exchange and get the same error as wrong passwords. A caller learns nothing
// about databases that it may not reach.
package gatekeeper
