// Package forwarder replaces the decision module in a forwarder: it submits each request to a planner and carries out the planner's
// decisions. For each cell it follows at most one planner, the holder of the cell's promise. It also decides how requests continue or end
// when they lose their planner. docs/two-levels.md describes the design, docs/forwarder-replacement.md the replacement of a forwarder by a
// new process.
//
// Core makes the forwarder's own decisions. It does no I/O and reads no clock; times are passed to it as values, in seconds:
//
//   - core.go: events and their order
//   - promises.go: promises to planners, and which planner is followed
//   - requests.go: open requests, from the client to the planner and back
//   - actions.go: execution of planners' decisions
//   - usage.go, orphans.go: reports to a new leader about the decisions of earlier leaders
//   - cordons.go: backends that operators have cordoned
//   - migrate.go: handover of the state to a new process, and its reclaim
//
// gateway.go, links.go and status.go connect Core to the ingress's loop and to sockets; config.go reads the operators' file.
package forwarder
