package mutualtls

import "testing"

func TestIdentity_Complete(t *testing.T) {
	for identity, want := range map[Identity]bool{
		{}: true, {Cert: "c", Key: "k", CA: "a"}: true, {Cert: "c"}: false, {Cert: "c", Key: "k"}: false, {CA: "a"}: false, {Key: "k", CA: "a"}: false,
	} {
		if got := identity.Complete(); got != want {
			t.Errorf("%+v: Complete is %v, want %v", identity, got, want)
		}
	}
}
