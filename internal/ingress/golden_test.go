package ingress

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"

	"eiderspread/internal/lab/golden"
	"eiderspread/internal/overload"
	"eiderspread/internal/roster"
	"eiderspread/policy"
)

// Guards the status, what goes with a hot restart's messages beside the snapshot, and the keys of the operator's file and of the configuration.
func TestGoldenForms(t *testing.T) {
	golden.JSON(t, "status.json", &Status{})
	golden.JSON(t, "go.json", &word{})
	golden.JSON(t, "value.json", &carried{})
	o, err := ReadOperator(golden.Path("ingress.toml"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "operator's file", o, Operator{Status: "127.0.0.1:8610", Trace: "testdata", TraceMB: 256, Overload: overload.Config{On: true, Floor: 0.05}})
	c, err := ReadConfig(golden.Path("config.json"))
	if err != nil {
		t.Fatal(err)
	}
	c.shape = nil
	set := c.Settings.Settings
	golden.Same(t, "settings", []any{set.Gateways, c.Settings.DialTimeoutS, c.Settings.ConnIdleS}, []any{2, 0.25, 15.0})
	c.Settings = Config{}.Settings
	golden.Same(t, "configuration", c, Config{Name: "n3", Listen: "127.0.0.1:6379", Discovery: "127.0.0.1:8500", Console: "127.0.0.1:9920",
		Seed: 0x8c1f30d27a5be964, MemoryMB: 192, Sockets: 1025, PeerListen: netip.MustParseAddrPort("127.0.0.1:7946"),
		Peers: []netip.AddrPort{netip.MustParseAddrPort("127.0.1.1:7946"), netip.MustParseAddrPort("127.0.1.2:7946")}, PeersAll: netip.MustParseAddrPort("127.0.1.255:7946"),
		Known: roster.List{Version: 41, Full: true, Servers: []roster.Target{{ID: "s", Addr: "127.0.0.1:1", State: "in_service", Zone: "z", Cell: 2, Weight: 3, StartedMS: 4}}}})
}

// Guards the names by which the status counts.
func TestGoldenNames(t *testing.T) {
	var b strings.Builder
	for r := range closeReasonsCount {
		fmt.Fprintln(&b, "closed", closeReason(r))
	}
	for r := range refuseReasonsCount {
		fmt.Fprintln(&b, "refused", refuseReason(r))
	}
	for r := range unsentReasonsCount {
		fmt.Fprintln(&b, "unsent", unsentReason(r))
	}
	for r := range policy.Violations {
		fmt.Fprintln(&b, "guard", policy.Violation(r))
	}
	golden.Check(t, "names.txt", []byte(b.String()))
}

// Guards what is read of a command and written to a backend, or said of one that can't be taken.
func TestGoldenCommands(t *testing.T) {
	words := newVocabulary(testConfig().Settings.Settings)
	var b bytes.Buffer
	for i, line := range strings.Split(strings.TrimSpace(string(golden.Load(t, "commands.txt"))), "\n") {
		var args [][]byte
		for _, arg := range strings.Fields(line) {
			args = append(args, []byte(arg))
		}
		c, err := words.parseCall(args)
		if fmt.Fprintf(&b, "%d ", i); err != nil {
			b.Write(errorOf(err))
			continue
		}
		q := c.Request
		fmt.Fprintln(&b, q.ID, q.Class, q.Plan, q.Customer, q.First, q.Entries, q.Units, q.Retry, c.waitS)
		b.Write(c.appendTo(nil, c.waitS-0.0005))
	}
	in := &Ingress{}
	b.Write(in.command(nil, &attempt{}))
	in.cfg.Settings.RetryAfter, in.cfg.Settings.MaxRetryAfterS = true, 1
	b.Write(append(in.busy(0.2501), in.busy(0)...))
	golden.Check(t, "commands.out", b.Bytes())
}

// Guards what is read of a backend's answers.
func TestGoldenReplies(t *testing.T) {
	var b strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(string(golden.Load(t, "replies.txt"))), "\n") {
		res := parseReply([]byte(strings.ReplaceAll(line, "|", "\r\n")))
		text, err := json.Marshal(res.load)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "%d %q %v %q %s\n", res.status, res.value, res.probe, res.spoilt, text)
	}
	golden.Check(t, "replies.out", []byte(b.String()))
}

// Guards the answers that clients are given, byte for byte.
func TestGoldenAnswers(t *testing.T) {
	backend, conns := listen(t)
	r := start(t, testConfig(backend), nil)
	r.mod.onRequest = func(q policy.Request) {
		switch q.ID {
		case "refused":
			r.in.Refuse(q.ID, 0.25)
		case "failed":
			r.in.Fail(q.ID)
		case "sent":
			r.in.Send(q.ID, "s0", 300)
		}
	}
	c := r.client()
	c.send("PING")
	for _, id := range []string{"refused", "failed", "sent", "sent"} {
		c.send(look(id)...)
	}
	c.send("NOVEL")
	b := get(t, conns)
	b.command()
	io.WriteString(b, "*3\r\n$5\r\nvalue\r\n$7\r\nfigures\r\n$13\r\ncpu_share=0.5\r\n")
	var got []byte
	read := func(w *wire, lines int) {
		for range lines {
			line, err := w.r.ReadBytes('\n')
			if got = append(got, line...); err != nil {
				t.Fatalf("%q, %v", got, err)
			}
		}
	}
	read(c, 7) // the value's are two
	c = start(t, testConfig(), nil).client()
	c.send("PING")
	read(c, 1)
	golden.Check(t, "answers.bin", got)
}
