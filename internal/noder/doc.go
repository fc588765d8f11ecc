// Package noder assembles an instance for the prepared machines from its components
// and runs it from start to stop.
//
// A [Node] is one instance. Instances find each other by the store (package
// registrar) and exchange state (package gossiper). One of them is elected the
// coordinator, which may change primaries (packages holder and replacer). In a
// small fleet, every instance reads the store with linearizable reads and competes
// often for the coordinator role. In a larger one, a few instances that are chosen
// by rendezvous hashing do so, so that the load on the store stays constant.
package noder
