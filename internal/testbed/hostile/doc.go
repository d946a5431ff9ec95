// Package hostile plays single cases of slow, abusive and vanishing peers against the product's programs, as real processes on loopback: one
// ingress in one program, or a forwarder with planners. Each case counts its occasions and what clients got, and measures the memory of the
// programs and the answers of other clients meanwhile.
//
//	rig.go       starts and ends the programs and their stand-ins
//	backend.go   a backend whose answers a case writes byte by byte
//	client.go    a client that sends and reads byte by byte
//	others.go    clients that behave, whose answers show what a case does to them
//	result.go    what a case found
//	cases.go     the list of cases, and how one is played
//	case_*.go    the cases
package hostile
