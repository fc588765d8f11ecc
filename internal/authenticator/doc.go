// Package authenticator identifies callers by the keys of their teams.
//
// A key belongs to the team that holds it in the configuration in force. Callers are
// checked at the start of their session and for each statement, because a new
// configuration may withdraw a key or give it to another team at any time.
//
// If there is a limit to the time for which a withdrawn key may still be accepted
// ([Config.RevocationLimit]), a key counts only while the configuration is proved to be
// current (package prover): less than the limit before the statement was received, no
// newer version had been acknowledged. An instance without such a proof refuses the
// statement, however long the key has been valid before.
//
// Keys are kept as digests, and appear in no error, log line or metric.
package authenticator
