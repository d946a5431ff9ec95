package ingress

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/testbed/golden"
	"eiderspread/policy"
)

// Guards the JSON keys of the status, and of the hot restart's messages other than the snapshot.
func TestGoldenForms(t *testing.T) {
	golden.JSON(t, "status.json", &Status{})
	golden.JSON(t, "status_page.json", &StatusPage{})
	golden.JSON(t, "go.json", &proceedMessage{})
	golden.JSON(t, "value.json", &valueTransfer{})
}

// Guards the names of the status's counters.
func TestGoldenNames(t *testing.T) {
	var b strings.Builder
	for r := range closeReasonsCount {
		fmt.Fprintln(&b, "closed", closeReason(r))
	}
	for r := range rejectReasonsCount {
		fmt.Fprintln(&b, "refused", rejectReason(r))
	}
	for r := range unsentReasonsCount {
		fmt.Fprintln(&b, "unsent", unsentReason(r))
	}
	for r := range policy.ViolationCount {
		fmt.Fprintln(&b, "guard", policy.Violation(r))
	}
	golden.Check(t, "names.txt", []byte(b.String()))
}

// Guards how commands are parsed, how they are written to backends, and the error replies to commands that are rejected.
func TestGoldenCommands(t *testing.T) {
	schema := callprotocol.NewSchema(testConfig().Settings.Settings)
	var b bytes.Buffer
	for i, line := range strings.Split(strings.TrimSpace(string(golden.Load(t, "commands.txt"))), "\n") {
		var args [][]byte
		for _, arg := range strings.Fields(line) {
			args = append(args, []byte(arg))
		}
		c, err := schema.ParseCall(args)
		if fmt.Fprintf(&b, "%d ", i); err != nil {
			b.Write(errorReply(err))
			continue
		}
		q := c.Request
		fmt.Fprintln(&b, q.ID, q.Class, q.Plan, q.Account, q.FirstGateway, q.GatewayCount, q.Units, q.Retry, c.TimeoutS)
		b.Write(c.AppendCommand(nil, c.TimeoutS-0.0005))
	}
	in := &Ingress{}
	b.Write(in.appendCommand(nil, &attempt{}))
	in.cfg.Settings.RetryAfterAllowed, in.cfg.Settings.MaxRetryAfterS = true, 1
	b.Write(append(in.busyReply(0.2501), in.busyReply(0)...))
	golden.Check(t, "commands.out", b.Bytes())
}

// Guards how the replies of backends are parsed.
func TestGoldenReplies(t *testing.T) {
	var b strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(string(golden.Load(t, "replies.txt"))), "\n") {
		res := callprotocol.ParseReply([]byte(strings.ReplaceAll(line, "|", "\r\n")))
		text, err := json.Marshal(res.Load)
		if err != nil {
			t.Fatal(err)
		}
		malformed := ""
		if res.Err != nil {
			malformed = res.Err.Error()
		}
		fmt.Fprintf(&b, "%d %q %v %q %s\n", res.Status, res.Value, res.Probe, malformed, text)
	}
	golden.Check(t, "replies.out", []byte(b.String()))
}

// Guards the replies to clients, byte for byte.
func TestGoldenAnswers(t *testing.T) {
	backend, conns := listenBackend(t)
	r := startIngress(t, testConfig(backend), nil)
	r.decider.onRequest = func(q policy.Request) {
		switch q.ID {
		case "refused":
			r.ingress.Reject(q.ID, 0.25)
		case "failed":
			r.ingress.Fail(q.ID)
		case "sent":
			r.ingress.Send(q.ID, "s0", 300)
		}
	}
	c := r.client()
	c.send("PING")
	for _, id := range []string{"refused", "failed", "sent", "sent"} {
		c.send(lookCommand(id)...)
	}
	c.send("NOVEL")
	b := receive(t, conns)
	b.command()
	r.waitFor("what is sent behind the open request is answered", func() bool { // else its id might be free again
		for there := range r.ingress.clients.conns {
			return len(there.answerSlots) == 3
		}
		return false
	})
	write(b, "*3\r\n$5\r\nvalue\r\n$7\r\nfigures\r\n$13\r\ncpu_share=0.5\r\n")
	var got []byte
	read := func(w *testConn, lines int) {
		for range lines {
			line, err := w.r.ReadBytes('\n')
			if got = append(got, line...); err != nil {
				t.Fatalf("read %q, then error %v", got, err)
			}
		}
	}
	read(c, 7) // the value takes two of them
	c = startIngress(t, testConfig(), nil).client()
	c.send("PING")
	read(c, 1)
	golden.Check(t, "answers.bin", got)
}
