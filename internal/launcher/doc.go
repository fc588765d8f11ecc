// Package launcher builds an entry instance from its settings and starts and
// stops its parts in order.
package launcher
