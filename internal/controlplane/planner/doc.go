// Package planner makes decisions on behalf of many forwarders. A planner leads some of the fleet's cells, each under a lease that a
// majority of the forwarders has granted, and runs one decision module (policy.Gateway) for each cell that it leads. docs/two-levels.md
// describes the design and proves its guarantees.
//
// These files do no I/O and read no clock; the caller passes the time, in seconds:
//
//   - leases.go: which cells this planner claims, leads and releases
//   - core.go, requests.go, actions.go: a cell's decision module, and the messages between it and the forwarders
//   - windows.go, recovery.go: quota units that accounts used under earlier leaders
//   - cordons.go: backends that operators have cordoned
//   - shedlevels.go: one load-shedding level for the modules of all cells
//
// server.go, links.go, admin.go and status.go connect them to the network; config.go reads the configuration file.
package planner
