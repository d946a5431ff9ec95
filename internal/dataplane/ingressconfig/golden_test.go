package ingressconfig

import (
	"net/netip"
	"testing"

	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/testbed/golden"
)

// Guards against unintended changes of the keys in the operator's file and in the configuration.
func TestGoldenFiles(t *testing.T) {
	o, err := ReadOperator(golden.Path("ingress.toml"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "operator's file", o, Operator{Status: "127.0.0.1:8610", Trace: "testdata", TraceMB: 256, Overload: loadshed.Config{Enabled: true, Floor: 0.05}})
	c, err := Read(golden.Path("config.json"))
	if err != nil {
		t.Fatal(err)
	}
	c.keys = nil
	set := c.Settings.Settings
	golden.Same(t, "settings", []any{set.Gateways, c.Settings.DialTimeoutS, c.Settings.ConnIdleS}, []any{2, 0.25, 15.0})
	c.Settings = Config{}.Settings
	golden.Same(t, "configuration", c, Config{Name: "n3", Listen: "127.0.0.1:6379", Discovery: "127.0.0.1:8500", AdminAddr: "127.0.0.1:9920",
		Seed: 0x8c1f30d27a5be964, MemoryMB: 192, MaxDescriptors: 1025, PeerListen: netip.MustParseAddrPort("127.0.0.1:7946"),
		Peers: []netip.AddrPort{netip.MustParseAddrPort("127.0.1.1:7946"), netip.MustParseAddrPort("127.0.1.2:7946")}, PeerBroadcast: netip.MustParseAddrPort("127.0.1.255:7946"),
		InitialEndpoints: discovery.List{Version: 41, Full: true, Endpoints: []discovery.Endpoint{{ID: "s", Addr: "127.0.0.1:1", State: "in_service", Zone: "z", Cell: 2, Weight: 3, StartedMS: 4}}}})
}
