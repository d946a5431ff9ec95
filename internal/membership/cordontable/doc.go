// Package cordontable records which backends operators have cordoned at an ingress that runs without planners. A Table applies the cordons
// to the endpoint lists of discovery and returns the changed lists for the decision module; it does no I/O and has no clock. A Store keeps
// the cordons in a file that outlives a process.
package cordontable
