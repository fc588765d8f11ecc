// Package auditor checks a configuration before an operator puts it in force.
//
// A [Finding] is an error if the configuration contradicts itself, so that an entry
// cannot work as it is written. It is a warning if an entry has no effect or probably
// not the intended one. [Check] looks at one configuration; [Compare] says what another
// one changes against it. Keys of teams appear by their fingerprints only.
package auditor
