// Package noder assembles an instance from its components and runs it from start
// to stop on machines that the platform prepares (see package platform).
//
// A [Node] is one instance. Instances find each other by the store (package
// registrar) and exchange state (package gossiper). One of them is elected the
// coordinator, which may change primaries (packages holder and replacer). In a
// small fleet, every instance reads the store with linearizable reads and competes
// often for the coordinator role. In a larger one, only a few instances that are
// chosen by rendezvous hashing do so, so that the load on the store stays constant;
// the others use stale reads and compete rarely.
package noder
