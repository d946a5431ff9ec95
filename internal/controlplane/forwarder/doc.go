// Package forwarder stands in a forwarder where the decision module stands in a one-program ingress: it has planners decide. It follows at
// most one planner for each cell, the one that it has promised the cell to, and rules what becomes of requests whose planner is lost.
// docs/two-levels.md gives the design, docs/forwarder-replacement.md that of a replacement by a new process.
//
// The decisions need neither I/O nor a clock; times come in as values, in seconds:
//
//   - core.go: events and their order
//   - promises.go: promises to planners, and whom to follow
//   - requests.go: open requests, from the client to the planner and back
//   - actions.go: carrying out what a planner has decided
//   - usage.go, orphans.go: what is reported to a new leader of earlier ones' decisions
//   - cordons.go: backends that operators have cordoned
//   - migrate.go: handing everything over to a new process, and taking it back
//
// gateway.go, links.go and status.go put them on the ingress's loop and on sockets; config.go reads the operators' file.
package forwarder
