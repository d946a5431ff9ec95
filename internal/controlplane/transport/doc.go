// Package transport carries messages between forwarders and planners: records in frames over TCP, with or without mutual TLS. Its bounds
// hold in both directions; a peer that breaks one loses its link with an error that gives the reason. Which side may send what, and what follows
// from it, is decided in packages forwarder and planner.
package transport
