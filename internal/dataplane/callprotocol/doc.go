// Package callprotocol translates between the platform's commands and what the decision module knows: CALL commands of clients, the same
// commands to backends, and backends' replies with their load reports. The short names of the protocol's fields stand in this package alone.
// It does no I/O.
package callprotocol
