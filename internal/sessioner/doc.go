// Package sessioner serves callers' sessions: one task for each connection,
// from its start to its end.
//
// A session answers settings and prepared statements itself and keeps them; a
// dispatcher runs the rest. In a failed transaction only its end is accepted.
package sessioner
