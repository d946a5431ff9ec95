package process

import (
	"errors"
	"testing"
)

func TestCheckConfig_UnknownKind(t *testing.T) {
	if kind, ok := errors.AsType[UnknownKindError](CheckConfig("ingress", "")); !ok || kind != "ingress" {
		t.Errorf("got %v", kind)
	}
}
