// Package throttler keeps the teams' operations at one instance within their quotas.
//
// Each operation of a team with a quota takes a token. Tokens come from the allocator of
// the team's group, another instance or this one (see package allocator). A [Throttler]
// asks for tokens when an operation waits, and ahead for teams with much demand here; all
// demands of a group go in one message, and one message is on its way at a time. A team
// that is known to be out of tokens is refused at once until it is worth asking again.
//
// An instance contributes its time to the refill of the quotas with each message. While it
// reaches no allocator, it uses the time itself: it accrues its own part of the rate, up to
// a small reserve. Time that may have arrived at an allocator is never used again.
//
// Teams without a quota, and callers without a team, cost nothing.
package throttler
