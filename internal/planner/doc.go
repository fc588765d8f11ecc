// Package planner tells what a batch of a caller's messages does: which
// statements it runs, whether it may commit, and whether it leaves a
// transaction open.
//
// A plan is made before anything is sent. It follows the transaction state
// through the statements as a server would if none of them failed.
package planner
