package errorbound

// SlotExcess returns how many attempts beyond its cap an account may have in flight because of one fault. The
// excess lasts for as long as slots are leased: attempts without a slot are reported, and no other one begins
// before they end.
func SlotExcess(a Account, f Fault) float64 {
	if a.MaxConcurrent == 0 || a.Gateways < 2 {
		return 0
	}
	switch f.Kind {
	case NoFault: // a member that heard of free slots within the last GrantMaxAgeS begins an attempt without requesting a slot
		return min(1+a.RequestRate*GrantMaxAgeS/2, float64(a.Gateways))
	case OwnerLost, OwnerRestarted: // the new owner knows none of the leases
		return float64(a.MaxConcurrent)
	case Partition: // each side has an owner
		return float64((max(f.Sides, 2) - 1) * a.MaxConcurrent)
	case MessageLoss: // renewals are lost, or sent to a successor: each as often as two reports in a row stay unanswered
		return float64(a.MaxConcurrent) * min(1, 0.5+2*unansweredTwice(f.LossRate))
	}
	return 0
}

// SlotExcessWithin returns how many attempts beyond the cap all faults together allow at a time, and which of them
// have effects then. The bound without faults is included. The result is at most what all gateways would begin if
// each counted by itself.
func SlotExcessWithin(a Account, faults []Fault, at float64) (excess float64, effective []Fault) {
	excess = SlotExcess(a, Fault{Kind: NoFault})
	for _, f := range faults {
		if f.overlaps(at, at) {
			excess += SlotExcess(a, f)
			effective = append(effective, f)
		}
	}
	return min(excess, float64(a.Gateways*max(a.MaxConcurrent, 1))), effective
}

// SlotIdleS returns for how many seconds one slot may stay unused, after an attempt or because of one fault, while
// requests wait for it.
func SlotIdleS(f Fault) float64 {
	switch f.Kind {
	case NoFault: // the report of an attempt's end is sent at once
		return 2 * MessageDelayS
	case MemberLost: // the slot stays unused until the member's leases expire
		return SlotLeaseS + SlotGraceS
	case OwnerLost: // the slot stays unused until the failure is detected and the successor grants slots
		return DetectionS + MessageDelayS
	case OwnerRestarted: // the slot stays unused until all leases of the owner's former incarnation have expired
		return SlotLeaseS
	case MessageLoss:
		return (SlotLeaseS + SlotGraceS) * f.LossRate
	}
	return SuspicionS
}
