// Package checker parses and checks manifests and settings files.
//
// A [Manifest] is the content of one manifest part: the database groups of one
// customer with their servers, read rules, callers, drains and switchovers. A
// [Document] is a manifest with its source text. A [Catalog] is the merged
// content of all active parts. [Decode] parses any other TOML file, such as
// settings, with the same strictness.
//
// Rules:
//
//   - Unknown and duplicate keys are errors.
//   - Checking continues after the first error. Each error is a [Finding] with
//     file, line, column and key path; [Findings] are sorted by position and
//     printed together.
//   - Names of groups, databases and callers are unique over all parts of a
//     catalog. When two parts conflict, the earlier one stays.
package checker
