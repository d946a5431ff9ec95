package snapshot

import (
	"fmt"

	"eiderspread/internal/decision/config"
)

// Event is what a predecessor reports of its requests once its successor decides for them. One field is set.
type Event struct {
	Request      *config.Request `json:"Request,omitempty"` // was read late
	Outcome      *config.Outcome `json:"Outcome,omitempty"` // ended an attempt
	Disconnected string          `json:"Gone,omitempty"`    // ID of a request whose client disconnected
}

// OrderKind is what a successor wants done. Its value is on the link.
type OrderKind byte

// The kinds of orders.
const (
	OrderSend   OrderKind = iota // an attempt of request ID to Backend
	OrderReject                  // of request ID
	OrderFail                    // of request ID
	OrderCancel                  // of an attempt of request ID
	OrderCordon                  // of the backend that ID names, or the end of it
)

// String is the kind's name, for logs.
func (k OrderKind) String() string {
	names := [...]string{"send", "reject", "fail", "cancel", "cordon"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("order %d", byte(k))
}

// Order is what a successor wants done to a request that its predecessor holds, or to a backend.
type Order struct {
	Kind     OrderKind `json:"Kind"`
	ID       string    `json:"ID"`
	Backend  string    `json:"Server,omitempty"` // of OrderSend: the backend's ID
	Attempt  int       `json:"Number,omitempty"` // of OrderSend and OrderCancel
	DelayS   float64   `json:"Wait,omitempty"`   // of OrderSend the time-out, 0 for none; of OrderReject RetryAfter, 0 for none
	Cordoned bool      `json:"Held,omitempty"`   // of OrderCordon
}
