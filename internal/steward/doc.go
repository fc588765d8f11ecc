// Package steward is the command line of the operators: it checks, proposes,
// approves and withdraws manifest parts, and shows the state of the store and
// of the instances.
//
// It changes nothing but proposals and approvals. Private keys stay with the
// operator; the store only receives signatures.
package steward
