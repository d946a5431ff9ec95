// Package callprotocol translates between the platform's protocol and the types of the decision module: it parses the CALL commands of
// clients, encodes the same commands for backends, and parses the replies of backends with their load reports. No other package uses the
// short names of the protocol's fields. It does no I/O.
package callprotocol
