// Package cordon decides which backends the operators of a fleet with planners have cordoned, so that a cordon that was confirmed at any
// planner binds whichever planner leads afterwards. Each backend id is a register, of which the state with the greatest version holds.
// Forwarders keep the registers (Registers); a planner that operators call reads and writes them at a majority of forwarders
// (Coordinator). The package does no I/O and has no clock: times come in as values, in seconds.
//
// A majority is enough because a planner leads by the promises of a majority of forwarders, and one of these has sent the register's state
// on the same link ahead of its promise. docs/two-levels-by-hand.md has the proof.
package cordon
