// Package noder builds an instance for the prepared machines from its parts and
// runs it from start to stop.
package noder
