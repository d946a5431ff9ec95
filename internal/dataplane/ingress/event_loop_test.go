package ingress

import (
	"testing"
)

// Guards the module's clock: an event that was stamped before one already handled must not turn it back.
func TestLoop_TimeIsMonotonic(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	var first, second float64
	r.ingress.post(r.ingress.clock.Now()+5, func() { first = r.ingress.now })
	r.onLoop(func() { second = r.ingress.now })
	if second < first {
		t.Errorf("the time went from %f to %f", first, second)
	}
}
