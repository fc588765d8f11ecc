// Package querier sends backend servers the status queries and commands of the instance
// itself.
//
// A server need not be listed to be asked: one whose entry is missing may still run and hold
// the primary's role. Commands, and the queries of the coordinator, use connections of this
// instance, so that they depend on no gateway; the other instances query through a gateway.
// They go before callers' requests: they are short, and reads wait for what they confirm.
//
// A [Querier] also keeps one [attester.Group] for each service: who leads it, which leases
// and samples this instance has. What a server answers, or that it does not, is recorded
// with the server.
package querier
