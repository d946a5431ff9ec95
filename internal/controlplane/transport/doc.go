// Package transport carries messages between forwarders and planners as records in length-prefixed frames over TCP, with or without mutual
// TLS. A link is one such connection. The limits of this package, such as MaxFrameBytes and MaxQueuedBytes, apply in both directions: if a
// peer exceeds one, its link is closed with an error that gives the reason. Packages forwarder and planner decide which side may send a
// message and how it is handled.
package transport
