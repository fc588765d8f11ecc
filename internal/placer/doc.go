// Package placer holds the pure decisions about where requests run: which
// server runs a read, which instances are the gateways of a server, how many
// connections each instance may hold, and how long a request may wait. Its
// functions use no network and no clock; callers pass in times and loads.
//
// A gateway is an instance that holds the connections to a backend server and
// runs the statements of other instances on them. A slot is the right to run one
// request at a server; an instance hands out as many slots as the server runs
// requests at a time. An objective is the time within which a route's requests
// should be answered.
//
// All choices among instances are deterministic: instances that know the same
// peers choose the same gateways and relays without talking to each other.
package placer
