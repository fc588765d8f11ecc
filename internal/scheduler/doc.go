// Package scheduler decides which waiting request gets the next slot of a backend server,
// and which one is refused when too many wait. It is pure code: times are passed in, and
// it neither locks nor waits.
//
// It answers this load: several teams share a server that cannot run all they ask for, one
// of them sends several times its usual, and requests of a few kinds differ in priority
// and in the time within which their callers need the answer.
//
// A [Queue] hands out slots in this order:
//
//   - By priority; the lower number goes first. A priority at which requests of teams wait
//     keeps [Floor] of the slots' time, however much more urgent work there is.
//   - Among requests of one priority, those that can still be answered in time go before
//     those that cannot. The latter get the slots that the others leave free.
//   - Among those, requests of teams within their share of the slots' time go before those
//     of teams above it. This is earliest eligible virtual deadline first (Stoica and
//     Abdel-Wahab, 1995) with real due times: a team is charged the slot time of its
//     requests, and is above its share while its account exceeds the mean of the teams that
//     have requests waiting or running. A team within its share therefore waits for at most
//     the requests that run already, one per slot, of a team above it.
//   - Within the share by due time, whatever the team; above it by the accounts, then by
//     due time.
//
// A slot is never left free while a request waits, and slots that no team within its share
// wants cost a team above it nothing beyond [MaxLead]. Without teams, all requests belong
// to one account, which is never above its share; they go by priority, lateness and due
// time, without a floor.
package scheduler
