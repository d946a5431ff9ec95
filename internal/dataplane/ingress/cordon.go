package ingress

import (
	"eiderspread/internal/decision/snapshot"
	"eiderspread/internal/membership/cordontable"
)

// Cordon implements Host. It applies a cordon, or its end, that operators requested from a fleet's planners. The cordon lasts as long as
// this process; the caller requests it again from the next process.
func (in *Ingress) Cordon(id string, cordoned bool) {
	if in.predecessorRequests != nil && in.predecessor != nil { // the predecessor still writes to backends, so it needs the cordon too
		in.queueOrder(snapshot.Order{Kind: snapshot.OrderCordon, ID: id, Cordoned: cordoned})
	}
	cordons, nowMS := in.cordons.Cordons(), int64(in.now*1000)
	switch c, known := cordons[id]; {
	case cordoned:
		cordons[id] = cordontable.Cordon{SinceMS: nowMS}
	case known:
		c.UncordonedMS = nowMS
		cordons[id] = c
	}
	in.applyList(in.cordons.Replace(cordons))
}
