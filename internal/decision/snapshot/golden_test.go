package snapshot

import (
	"testing"

	"eiderspread/internal/testbed/golden"
)

// Guards what processes of two versions hand to each other at a hot restart.
func TestGoldenForms(t *testing.T) {
	golden.JSON(t, "part.json", &Part{})
	golden.JSON(t, "event.json", &Event{})
	golden.JSON(t, "order.json", &Order{})
	for i, kind := range []OrderKind{OrderSend, OrderReject, OrderFail, OrderCancel, OrderCordon} {
		if int(kind) != i {
			t.Errorf("order %d is %d on the link", i, kind)
		}
	}
}
