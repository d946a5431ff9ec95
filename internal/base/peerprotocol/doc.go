// Package peerprotocol encodes and decodes the messages between gateways. Package policy decides what is sent, when and to
// whom. The package does no I/O.
//
// A message has a header, then records of one account each, then gossip entries of one backend each, in at most MaxLen bytes.
// Numbers are big-endian and are clamped to what their field holds. The layout, by the fields of the Go types:
//
//	header (HeaderLen)  0    Version
//	                    1    incarnation of the sender
//	                    2-3  sequence
//	                    4    number of records
//
//	record (RecordLen)  0-3    AccountKey
//	                    4      bit 7 FromOwner, 6 Known, 5 SharedBucket, 4 Leases, 3-0 Plan
//	                    5-6    Total in quarters of a unit, modulo 2^16
//	                    7-8    Available in quarters of a unit, signed
//	                    9-10   Demand in quarters of a unit a second
//	                    11-12  InFlight
//	                    13     owner: LeaseS in steps of 0.05 s; member: Unacked in quarters of a unit
//	                    14     Requested in quarters of a unit
//	                    15     owner: BackoffS in steps of 0.05 s; member: FirstRequested in quarters of a unit, or LeaseS in
//	                           steps of 0.05 s if Leases is set and Requested is 0
//	                    16     owner: Slots; member: LowPriority times 255
//
//	entry (EntryLen)    0-1  BackendHash; 0xffff with UtilizationTag: the sender's load-shedding state
//	                    2    ClassTag; UtilizationTag: Value is a utilization
//	                    3    Value times 255; or the load-shedding level
//	                    4    age in steps of 0.02 s; or the load-shedding phase
package peerprotocol
