// Package preparer keeps the prepared statements of a caller.
//
// Server connections are shared, so a named statement of a caller has a name
// on the server side that depends only on its text and parameter types. The
// same statement of two callers then exists once per server connection.
package preparer
