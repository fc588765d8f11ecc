// Package checker parses and checks manifests and settings files.
//
// Parsing is strict. Checking goes on after the first finding; findings carry
// file, line, column and key path, are sorted by place and printed together.
// A [Catalog] is the checked content of all manifest parts that are in force.
package checker
