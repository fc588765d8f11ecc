// Package deployer starts a whole installation on one machine for experiments:
// the stand-ins, the entry instances and the signed manifest.
//
// It is a tool of the developers. Every process has its own loopback IP number
// 127.Z.N.x, where Z stands for an availability zone. All traffic between
// processes passes standin-link, which recognises the sender by its IP number
// and applies the delays and cuts of the experiment.
package deployer
