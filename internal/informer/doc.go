// Package informer keeps an instance's view of the operator's configuration and of
// the backend servers, from the store and from other instances.
//
// A [Configuration] is replaced only by one with a higher version, whatever its
// source. The server list is replaced only by one of a higher store revision or,
// when this instance reads it from the store, of the same one. A server that is
// missing from the lists is removed only after [Config.RemoveAfter], because
// entries expire while the store is down and return later. After a restore of the
// store from an older copy, an entry that is no newer than the known one neither changes
// a server nor brings back one that had gone.
//
// A reader is an instance that watches the configuration, lists the servers by
// linearizable reads now and then ([Config.LinearizableEvery]), and tells the others
// of changes ([Config.OnChange]). In small fleets all instances are readers. All
// other lists but an instance's first one are stale reads, which the store charges
// less for and which may return values of some time ago. All pauses are
// randomized, so that instances do not call the store together.
package informer
