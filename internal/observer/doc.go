// Package observer keeps what the answers of one backend server, or one gateway, show of it.
//
// An [Observer] belongs to one server. It records each exchange of this instance with the
// server, and answers from these records how long requests take, whether the server should
// be avoided, whether it is silent, and whether it is a replica that is behind. It sends
// nothing and decides nothing about a request.
//
// Outstanding requests are sent and not answered; the server stalls when one of them has
// been so for too long. A server is silent when it stalls and has answered nothing else
// meanwhile: one that is only slow still answers now and then. A replica lacks a position
// when it refused a read that required it; it is behind once it has lacked one for a while.
//
// Every record expires by its age. Status reports of a server count as answers, but only a
// read that it has run shows that it runs reads.
package observer
