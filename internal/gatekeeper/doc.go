// Package gatekeeper accepts connections of callers, authenticates them with
// SCRAM-SHA-256 and hands them to the relayer as sessions. It also receives
// cancel requests and routes them to the instance of the session.
//
// A caller is a user that the manifest declares, with its password verifier and
// the groups whose databases it may use. It cannot distinguish a database that
// it may not use from one that does not exist.
//
// An unauthenticated peer can use only a bounded amount of memory and time: the
// number of such connections, the size of their messages and the time until
// authentication are limited. An unknown caller goes through the same exchange
// and gets the same error as one with a wrong password.
package gatekeeper
