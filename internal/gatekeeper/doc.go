// Package gatekeeper accepts connections of callers, authenticates them with
// SCRAM-SHA-256 and hands them to the relayer as sessions. It also receives
// cancel requests and routes them to the instance of the session.
//
// A caller is a user that the manifest declares, with its password verifier and
// the groups whose databases it may use. It cannot distinguish a database that
// it may not use from one that does not exist.
//
// A user name that begins with "team:" stands for a team of the manifest. Its members
// send one of the team's keys as the password, over TLS only; the gatekeeper compares
// digests. When a manifest comes into force that withdraws the key, or the team's access
// to the group, the session ends: before its next request is run, even inside a
// transaction, which is rolled back. A request that has been received completely is still
// answered.
//
// An unauthenticated peer can use only a bounded amount of memory and time: the
// number of such connections, the size of their messages and the time until
// authentication are limited. An unknown caller or team goes through the same
// exchange and gets the same error as one with a wrong password or key.
package gatekeeper
