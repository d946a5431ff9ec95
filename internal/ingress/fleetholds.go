package ingress

import (
	"eiderspread/internal/held"
	"eiderspread/internal/kept"
)

// Hold implements Host: what a fleet's planners were told by its operators. It lasts as long as this process; who asks for it says it again
// to the next.
func (in *Ingress) Hold(id string, on bool) {
	if in.elders != nil && in.heir != nil { // the old process writes to nodes still
		in.putOrder(kept.Order{Kind: kept.Hold, ID: id, Held: on})
	}
	holds, ms := in.held.Holds(), int64(in.now*1000)
	switch h, some := holds[id]; {
	case on:
		holds[id] = held.Hold{SinceMS: ms}
	case some:
		h.BackMS = ms
		holds[id] = h
	}
	in.applyList(in.held.Set(holds))
}
