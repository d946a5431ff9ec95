package settings

import "eiderspread/policy"

// NoLoad is a load report without a figure.
var NoLoad = policy.Load{InFlight: -1, Queue: -1, Utilization: -1, ServiceMS: -1, ServedPerS: -1, FailedPerS: -1}

// SetLoad puts a figure into a load report by its name in the protocol; unknown names are passed over.
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
