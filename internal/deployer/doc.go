// Package deployer runs a whole deployment on one machine, for tests and
// experiments: the stand-ins, the entry instances and a signed manifest.
//
// Vocabulary:
//
//   - A Deployment is one set of processes with their settings, keys and logs. A
//     Plan says how many there are and how far apart.
//   - A stand-in is a program that takes the place of a system that the product
//     depends on: standin-server is a backend server, standin-platform is the
//     platform's store and instance list, standin-link is the network.
//   - A link is a listening address of standin-link, which relays to one target.
//     A public address leads through a link, a direct address does not.
//
// Invariants:
//
//   - Every process has its own loopback IP number 127.Z.N.x, where Z stands for
//     an availability zone and N for the kind of process.
//   - All traffic between processes passes standin-link, which tells senders
//     apart by their IP numbers and applies the delays and faults of the
//     experiment. Only the deployer itself and clients of the direct addresses
//     bypass it.
//   - The processes end with the process that started them.
//
// Deployments on the same machine do not disturb each other: each reserves a
// block of addresses. Nothing here is part of the product.
package deployer
