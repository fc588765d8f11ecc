// Package selector selects the gateway to which a request for a backend server is sent.
//
// A gateway is an instance that holds connections to the server and runs the statements of
// the other instances on them. Each server has a few, in an order that all instances
// compute alike from the list of instances; the first reachable one schedules all work of
// the server. The rank of an instance is its place in this order.
//
// A [Selector] knows the gateways of all servers, one [Gateway] for each instance, and a
// [Ranking] holds those of one server. A gateway is lost from a failure to reach it, or a
// report that it does not answer, until it answers again; it is asked in the background
// meanwhile. It is avoided while it is lost, while requests to it stay unanswered, and for
// a while after it said that it is no gateway of the server.
//
// Losing a gateway ends the requests that may run elsewhere and wait for its answer. It
// says nothing about the backend server. This instance is among the gateways like any
// other and is never asked over the network.
package selector
