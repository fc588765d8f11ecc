// Package overseer runs one task for each database group.
//
// While this instance holds the duty to monitor the group, the task probes the
// servers, keeps a tracker and runs a promoter. Otherwise it follows the
// monitor with long-polled WatchGroup calls. Either way it keeps the newest
// view. A view with a lower established term never replaces one with a higher
// term.
//
// Two instances may believe that they hold the duty. Both report facts read
// from servers, and promotions are safe by terms.
package overseer
