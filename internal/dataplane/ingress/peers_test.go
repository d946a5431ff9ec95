package ingress

import (
	"bytes"
	"net"
	"net/netip"
	"testing"
	"time"

	"eiderspread/policy"
)

// Guards against messages taken from strangers, and against datagrams that void a run.
func TestPeers_Datagrams(t *testing.T) {
	udp := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		noError(t, c.SetDeadline(time.Now().Add(testTimeout)))
		return c
	}
	addr := func(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }
	friend, stranger, all := udp(), udp(), udp()
	cfg := testConfig()
	cfg.Settings.PeerMessages = true
	cfg.PeerListen = netip.MustParseAddrPort("127.0.0.1:0")
	cfg.Peers = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), addr(friend)}
	cfg.PeerBroadcast = addr(all)
	r := startIngress(t, cfg, nil)
	here := r.ingress.peers.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	sendTo := func(c *net.UDPConn, data []byte) {
		_, err := c.WriteToUDPAddrPort(data, here)
		noError(t, err)
	}
	sendTo(stranger, []byte("spoof"))
	sendTo(friend, bytes.Repeat([]byte("x"), maxDatagramBytes+1))
	sendTo(friend, []byte("hello"))
	if m := receive(t, r.decider.messages); m != (peerMessage{1, "hello"}) {
		t.Errorf("got %+v", m)
	}
	r.onLoop(func() {
		r.ingress.SendPeerMessage(1, make([]byte, maxDatagramBytes+1))
		r.ingress.SendPeerMessage(9, []byte("none"))
		r.ingress.SendPeerMessage(1, []byte("one"))
		r.ingress.SendPeerMessage(policy.Broadcast, []byte("all"))
	})
	buf := make([]byte, 512)
	for c, want := range map[*net.UDPConn]string{friend: "one", all: "all"} {
		n, from, err := c.ReadFromUDPAddrPort(buf)
		if err != nil || string(buf[:n]) != want || from != here {
			t.Errorf("got %q from %v, %v; want %q from %v", buf[:n], from, err, want, here)
		}
	}
}
