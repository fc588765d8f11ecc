// Package divider divides the connections of each backend server among the
// entry instances. The monitor of a group gives grants: a number of
// connections for three seconds.
//
// Every live instance has a guaranteed share; the rest is given by demand. The
// sum of what all instances may hold never exceeds the server's limit without
// the connections that are reserved for monitors, as far as the divider can
// know it. Where two monitors over-grant all the same, the server refuses the
// surplus.
package divider
