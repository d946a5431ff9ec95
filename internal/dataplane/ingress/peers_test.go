package ingress

import (
	"bytes"
	"net"
	"net/netip"
	"testing"
	"time"

	"eiderspread/policy"
)

// Guards against messages accepted from unknown senders, and against sent datagrams that make a run invalid:
// those that are too long or have no valid destination.
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
	peer, stranger, broadcast := udp(), udp(), udp()
	cfg := testConfig()
	cfg.Settings.PeerMessages = true
	cfg.PeerListen = netip.MustParseAddrPort("127.0.0.1:0")
	cfg.Peers = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), addr(peer)}
	cfg.PeerBroadcast = addr(broadcast)
	r := startIngress(t, cfg, nil)
	ingressAddr := r.ingress.peers.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	sendTo := func(c *net.UDPConn, data []byte) {
		_, err := c.WriteToUDPAddrPort(data, ingressAddr)
		noError(t, err)
	}
	sendTo(stranger, []byte("spoof"))
	sendTo(peer, bytes.Repeat([]byte("x"), maxDatagramBytes+1))
	sendTo(peer, []byte("hello"))
	if m := receive(t, r.decider.messages); m != (peerMessage{1, "hello"}) {
		t.Errorf("the decider got %+v, want hello from peer 1", m)
	}
	r.onLoop(func() {
		r.ingress.SendPeerMessage(1, make([]byte, maxDatagramBytes+1))
		r.ingress.SendPeerMessage(9, []byte("none"))
		r.ingress.SendPeerMessage(1, []byte("one"))
		r.ingress.SendPeerMessage(policy.Broadcast, []byte("all"))
	})
	buf := make([]byte, 512)
	for c, want := range map[*net.UDPConn]string{peer: "one", broadcast: "all"} {
		n, from, err := c.ReadFromUDPAddrPort(buf)
		if err != nil || string(buf[:n]) != want || from != ingressAddr {
			t.Errorf("got %q from %v, %v; want %q from %v", buf[:n], from, err, want, ingressAddr)
		}
	}
}
