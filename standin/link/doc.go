// Package link is a stand-in for the network between processes: a TCP relay
// with delay, cuts, freezes and resets for each pair of sender and link.
//
// A link is a listening address with a target. The sender is recognised by its
// IP number, which the relay keeps on its own connection to a loopback target.
// A cut swallows bytes and leaves connections open, as a partition does.
// Since the bytes are gone, a connection that lost some is reset when the cut
// ends. A freeze holds bytes without loss.
package link
