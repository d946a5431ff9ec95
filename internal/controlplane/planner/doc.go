// Package planner decides on behalf of many forwarders. A planner leads some of the fleet's cells, each under a lease that a majority of
// the forwarders has granted, and runs one decision module (policy.Gateway) for each cell that it leads. docs/two-levels.md gives the
// design and its proofs.
//
// The decisions need neither I/O nor a clock; times come in as values, in seconds:
//
//   - leases.go: which cells this planner claims, leads and gives up
//   - core.go, requests.go, actions.go: a cell's module, and what passes between it and the forwarders
//   - windows.go, recovery.go: what accounts had used under earlier leads
//   - cordons.go: backends that operators have cordoned
//   - shedlevels.go: one load-shedding level for the modules of all cells
//
// server.go, links.go, admin.go and status.go put them on sockets; config.go reads the operators' file.
package planner
