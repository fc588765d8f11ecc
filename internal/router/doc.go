// Package router decides where a statement goes: to the primary, to a replica,
// or nowhere.
//
// A decision rests on a view and is a hint. The relayer proves a replica read
// with the status row that comes with the answer.
package router
