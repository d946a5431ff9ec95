package process

import (
	"errors"
	"testing"
)

func TestCheckConfig_UnknownKind(t *testing.T) {
	if kind, ok := errors.AsType[UnknownKindError](CheckConfig("ingress", "")); !ok || kind != "ingress" {
		t.Errorf("got UnknownKindError: %v, with kind %q, want one with kind \"ingress\"", ok, kind)
	}
}
