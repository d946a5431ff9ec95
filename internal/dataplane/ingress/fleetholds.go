package ingress

import (
	"eiderspread/internal/base/snapshot"
	"eiderspread/internal/controlplane/cordontable"
)

// Cordon implements Host: what a fleet's planners were told by its operators. It lasts as long as this process; who asks for it says it again
// to the next.
func (in *Ingress) Cordon(id string, on bool) {
	if in.predecessorRequests != nil && in.predecessor != nil { // the old process writes to nodes still
		in.queueOrder(snapshot.Order{Kind: snapshot.OrderCordon, ID: id, Cordoned: on})
	}
	holds, ms := in.cordons.Cordons(), int64(in.now*1000)
	switch h, some := holds[id]; {
	case on:
		holds[id] = cordontable.Cordon{SinceMS: ms}
	case some:
		h.UncordonedMS = ms
		holds[id] = h
	}
	in.applyList(in.cordons.Replace(holds))
}
