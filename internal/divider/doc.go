// Package divider divides the connections of each backend server among the
// entry instances.
//
// One instance, the monitor of a group, answers the reports of the others with
// grants: a grant is the number of connections to one server that an instance
// may hold for the next three seconds (pooler.GrantDuration). A report names
// the connections that the instance has open, in use and waited for.
//
// The capacity of a server is its connection limit without the connections that
// are reserved for monitors. Every live instance has a guaranteed share: the
// capacity divided by the highest number of members within the last grant
// duration, but at least one connection. The remainder of that division is given
// by demand. An instance is silent when it is no longer a member and its grant
// has expired; its connections may still exist and count until the server's
// own connection count shows that they are closed.
//
// As far as the divider can know, the sum of what all instances may hold never
// exceeds the capacity. A new monitor therefore grants only guaranteed shares
// until all grants of an earlier monitor have expired. If two monitors still
// grant too much together, the server refuses the surplus connections.
package divider
