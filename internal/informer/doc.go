// Package informer keeps an instance's view of the operator's
// configuration and of the backend servers.
//
// A [Configuration] is replaced only by one with a higher version, whoever
// brought it. The server list is replaced by lists of higher store revisions;
// a server that is missing counts as gone only after [Config.GoneAfter] of
// answers without it, because entries lapse while the store is away.
package informer
