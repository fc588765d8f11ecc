// Package storer reaches the platform's key-value service.
//
// [Store] is what other packages use. [Gateway] implements it over the etcd v3
// JSON gateway. Every call has a deadline. A write whose response was lost
// fails with an [UnknownOutcomeError]: it may have taken effect, or may still
// do so, and the caller resolves this by reading back or by repeating the same
// transaction, whose compares admit it at most once.
package storer
