// Package cordon replicates operators' cordons of backends in a fleet with planners, so that a cordon that one planner has confirmed binds
// every planner that leads afterwards. Each backend id has a register; its valid state is the one with the greatest version. Forwarders store
// the registers (Registers). The planner that an operator calls reads and writes them at a majority of forwarders (Coordinator). The package
// does no I/O and reads no clock: times are passed in, in seconds.
//
// A majority is enough: a planner leads with the promises of a majority of forwarders, so at least one of these forwarders has stored the
// register's state, and it sends the state ahead of its promise on the same link. docs/cordons-two-levels.md has the proof.
package cordon
