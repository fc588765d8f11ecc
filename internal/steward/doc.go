// Package steward implements marigoldctl, the operators' command-line tool. It
// checks, proposes, approves and withdraws manifest parts, and shows the state
// of the store and of the instances.
//
// Every change of a part is a proposal that takes effect when both co-owners
// have approved it; package approver defines the operations. The tool writes
// nothing else to the store. Private keys stay with the operator; the store
// only receives signatures.
//
// Exit codes distinguish a refusal, an unreachable store or instance, and a
// write whose outcome is unknown.
package steward
