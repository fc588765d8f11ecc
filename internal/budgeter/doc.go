// Package budgeter keeps what a process holds for connections that it does not control
// within a fixed amount of memory.
//
// A [Budget] is shared by all connections. Each connection has an [Account], whose floor,
// a few kilobytes, is not counted: messages of an ordinary size pass without the budget.
// Beyond the floor a connection reserves before it reads on; while the budget is
// exhausted it waits, so that its peer's window fills. Memory that exists already, such
// as an answer that a server has given, is charged afterwards.
//
// When others wait, the account that has held most memory for the longest time without
// progress is evicted: its connection is closed. An account whose request is being
// processed is never evicted. A wait that is not met within [MaxWait] fails.
//
// [Refusals] counts and logs, by reason, what was refused or closed because of a limit.
package budgeter
