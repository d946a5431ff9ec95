package snapshot

import (
	"testing"

	"eiderspread/internal/testbed/golden"
)

// Processes of two versions exchange these forms in a hot restart: a changed key or order kind would break the
// exchange.
func TestGoldenForms(t *testing.T) {
	golden.JSON(t, "part.json", &Part{})
	golden.JSON(t, "event.json", &Event{})
	golden.JSON(t, "order.json", &Order{})
	for i, kind := range []OrderKind{OrderSend, OrderReject, OrderFail, OrderCancel, OrderCordon} {
		if int(kind) != i {
			t.Errorf("order kind %d is sent as %d", i, kind)
		}
	}
}
