// Package attempter sends a caller's statement to one server and judges what the attempt
// showed.
//
// An attempt waits for a connection, exchanges the statements, and records the answers for
// the choices of later ones. An error that wraps [ErrNotSent] means that the statements were
// not sent; after any other error a server may have run them. Whether a statement is sent
// again, and where, is not decided here, but how often it may be: tries after a refusal at a
// full queue are paid from a budget of the service.
//
// A refusal says that nothing ran. If there is an estimate of when a server will have room,
// it tells the caller when to come back; [Attempter] spreads the callers that it refused
// over time.
package attempter
