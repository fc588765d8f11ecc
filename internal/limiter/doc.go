// Package limiter counts the open sockets of a process over all its ports and outgoing
// connections, and keeps them below the limit of its settings.
//
// The sockets are divided among uses, such as the port for callers or the connections to
// backend servers. Each [Use] has a reserve, which the others cannot take, and may have a
// limit. Beyond the reserves, sockets go to the use that asks first.
//
// A [Listener] takes a socket for each connection that it accepts. A socket is given back
// when its descriptor is closed, not when the close is requested, so that connections that
// are being closed count, too. While no socket is free, the listener asks the owners of the
// ports to close a connection that may be closed, callers' ones first (see [Use.CloseFirst]);
// otherwise further connections wait in the kernel's queue, where they take no descriptor of
// the process.
package limiter
