package snapshot

import (
	"fmt"

	"eiderspread/internal/decision/config"
)

// Event is what a predecessor reports of its requests while its successor decides about them. Exactly one field is set.
type Event struct {
	Request      *config.Request `json:"Request,omitempty"` // a request that was read after the handover
	Outcome      *config.Outcome `json:"Outcome,omitempty"` // the end of an attempt
	Disconnected string          `json:"Gone,omitempty"`    // ID of a request whose client disconnected
}

// OrderKind is the kind of an Order. Its number is sent on the link.
type OrderKind byte

// The kinds of orders.
const (
	OrderSend   OrderKind = iota // send an attempt of request ID to Backend
	OrderReject                  // reject request ID
	OrderFail                    // fail request ID
	OrderCancel                  // cancel an attempt of request ID
	OrderCordon                  // cordon or uncordon the backend with this ID
)

// String returns the kind's name, for logs.
func (k OrderKind) String() string {
	names := [...]string{"send", "reject", "fail", "cancel", "cordon"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("order %d", byte(k))
}

// Order is an instruction of a successor to its predecessor, about a request that the predecessor holds or about a backend.
type Order struct {
	Kind     OrderKind `json:"Kind"`
	ID       string    `json:"ID"`
	Backend  string    `json:"Server,omitempty"` // of OrderSend: the backend's ID
	Attempt  int       `json:"Number,omitempty"` // of OrderSend and OrderCancel
	DelayS   float64   `json:"Wait,omitempty"`   // seconds: of OrderSend the timeout, of OrderReject RetryAfter; 0 for none
	Cordoned bool      `json:"Held,omitempty"`   // of OrderCordon
}
