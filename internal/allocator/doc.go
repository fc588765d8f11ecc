// Package allocator divides the quotas of teams among the instances.
//
// A quota allows a team a rate of operations and a burst, summed over all instances. An
// allocator is the instance that gives out the tokens of a group of teams; each token pays
// for one operation. Which instance that is follows from the list of instances; no
// election and no state in the store are needed.
//
// Members are the instances that send requests to an allocator. The refill comes from
// them: each instance contributes the time since its last contribution, and an allocator
// turns it into the team's rate divided by the number of instances, times that time. No
// instance contributes the same time twice, so that several allocators that act at the
// same time, for example during a take-over or a network partition, together give out no
// more than the rate. Only an allocator that has had most of the refill for some seconds
// adds to it the part of the stock that no window has used, up to the team's burst.
//
// Invariants, with a team's [Limits]:
//   - An allocator starts without tokens.
//   - Tokens in stock and tokens that members hold unused together never exceed
//     Limits.Stock times the share of the instances that contribute here, or Limits.Young times
//     it at an allocator that has not had most of the refill for some seconds.
//   - A contribution is counted for at most Limits.Lag.
//   - Tokens expire [TokenTTL] after they were requested.
package allocator
