// Package storer gives access to the platform's metadata store, a key-value store
// with revisions, leases and watches like those of etcd.
//
// [Store] is the interface that other packages use. [EtcdClient] implements it
// over the etcd v3 JSON gateway; packages platform and storertest have other
// implementations.
//
// Every change increases the revision of the store, see [NewRevision]. A
// [Transaction] runs its operations only if all its compares hold, for example that
// a key was not modified since a revision. A lease ends unless it is renewed in
// time, and the keys attached to it are deleted with it. A [Watch] reports the
// changes since a revision in order; the store may have discarded (compacted) old
// revisions, in which case the watch fails with a [CompactedError].
//
// Every call has a deadline. A write whose response was lost fails with an
// [UnknownOutcomeError]: it may have taken effect, or may still do so. The caller
// finds out by reading back, or repeats the same transaction, whose compares
// admit it at most once.
package storer
