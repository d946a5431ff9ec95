// Package cordontable keeps the backends that operators of an ingress without planners have cordoned. A Table applies the cordons to the
// lists of discovery and returns what changes by them for the decision module; it does no I/O and has no clock. A Store keeps the cordons in
// a file that outlives a process.
package cordontable
