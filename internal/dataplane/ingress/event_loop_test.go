package ingress

import (
	"testing"
)

// Guards against a time that goes backward for the decider: an event may carry an earlier time than the event handled before it.
func TestLoop_TimeIsMonotonic(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	var first, second float64
	r.ingress.post(r.ingress.clock.Now()+5, func() { first = r.ingress.now })
	r.onLoop(func() { second = r.ingress.now })
	if second < first {
		t.Errorf("the loop's time went backward, from %f to %f", first, second)
	}
}
