// Package planner determines what a batch of a caller's messages does: which
// statements it executes, whether it may commit, and whether it leaves a
// transaction open.
//
// A batch is one simple query, or messages of the extended protocol up to Sync or
// Flush. Its plan is made before anything is sent to a server. The plan follows
// the transaction state through the statements as if none of them failed.
//
// Some statements are answered by the proxy without a server, such as SET of a
// setting of the proxy or of a non-pinning setting. A setting is non-pinning if
// no later statement depends on it, or if the value is the one that all server
// connections have.
package planner
