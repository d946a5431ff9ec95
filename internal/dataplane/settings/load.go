package settings

import "eiderspread/policy"

// NoLoad is a load report without figures: -1 stands for a missing one.
var NoLoad = policy.Load{InFlight: -1, Queue: -1, Utilization: -1, ServiceMS: -1, ServedPerS: -1, FailedPerS: -1}

// SetLoad sets the figure of a load report that has the given name in the protocol. Unknown names are ignored.
func SetLoad(load *policy.Load, name string, v float64) {
	switch name {
	case "busy_reqs":
		load.InFlight = v
	case "pending":
		load.Queue = v
	case "cpu_share":
		load.Utilization = v
	case "svc_ms":
		load.ServiceMS = v
	case "served_ps":
		load.ServedPerS = v
	case "failed_ps":
		load.FailedPerS = v
	}
}
