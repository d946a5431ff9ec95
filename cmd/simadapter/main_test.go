package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"eiderspread/policy"
)

const settingsText = `{"balancers":2,"me":%d,"limits":{"maxAttempts":3,"peerMessages":true},"familyInfo":{"peerIntake":40},` +
	`"profiles":[{"name":"read","aimS":1,"deadlineS":2,"effect":"retryable","worth":1,"unknown":[1]}],` +
	`"packages":[{"name":"basic","unitsPerS":2,"peakUnits":8,"pays":1,"excessCost":1}],"later":{"x":1}}`

// startBatch returns a batch that starts gateway i and gives it an endpoint list.
func startBatch(i int) string {
	return fmt.Sprintf("CLOCK\ttimeS=10\nENLIST\ti=%d\tentropy=7\tsettings="+settingsText+"\n", i, i) +
		"REGISTER\trosterId=0\tlines=1\nITEM\tbackend=10.0.0.1:80\thall=a\tflavor=k\tunitGroup=0\tstatus=U\tshare=1\n" +
		fmt.Sprintf("PEERS_KNOWN\ti=%d\trosterId=0\tkind=Persisted\trevision=1\nYOUR_TURN\n", i)
}

func requestLine(i int, id string) string {
	return fmt.Sprintf("REQUEST\ti=%d\tid=%s\tbase=0\ttier=basic\tdropDeadS=12\tnEntries=2\tcostUnits=1\tkind=read\tholder=key:x\tnew=1\n", i, id)
}

func runInput(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := run(strings.NewReader(in), &out)
	return out.String(), err
}

// Guards the exchange with the simulator: each batch gets one reply, whatever events it holds, and a request is sent to a backend once.
func TestRun_RepliesToEachBatch(t *testing.T) {
	out, err := runInput(t, "CLOCK\ttimeS=9\nYOUR_TURN\n"+startBatch(0)+"CLOCK\ttimeS=10.1\n"+requestLine(0, "a")+"YOUR_TURN\n"+
		"CLOCK\ttimeS=10.2\nVERDICT\ti=0\tid=a\tbackend=10.0.0.1:80\tterminal=1\tspentS=0.1\tcode=200\thop=0\tload=cpu_share:0.5,new:3\n"+
		"VERDICT\ti=0\tid=gone\tbackend=10.0.0.1:80\tcode=504\thop=0\nHANGUP\ti=0\tid=a\nALARM\ti=0\tmark=9\n"+
		"DATAGRAM\ti=0\tsender=1\tdata=0102\nDATAGRAM\ti=0\tsender=1\tdata=-\nALARM\ti=5\tmark=1\nYOUR_TURN\n"+
		"CLOCK\ttimeS=10.3\nDOWN\ti=0\nYOUR_TURN\n")
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out, "NEXT\n"); n != 5 {
		t.Fatalf("got %d replies to 5 batches, want 5:\n%s", n, out)
	}
	if strings.Count(out, "FORWARD\ti=0\tid=a\tbackend=10.0.0.1:80\twithinS=") != 1 {
		t.Fatalf("want exactly one FORWARD of request a, got:\n%s", out)
	}
}

// Guards against invalid input: run returns an error that names the message or the field at fault.
func TestRun_InvalidInput(t *testing.T) {
	for want, in := range map[string]string{
		"NOVEL: unknown message":                              "NOVEL\ti=0\n",
		"REQUEST: field dropDeadS is missing":                 "REQUEST\ti=0\tid=a\tkind=read\ttier=basic\tholder=x\n",
		"REQUEST: field dropDeadS cannot be read":             strings.Replace(requestLine(0, "a"), "dropDeadS=12", "dropDeadS=soon", 1),
		"REQUEST: malformed field":                            "REQUEST\ti\n",
		"ALARM: field mark cannot be read":                    "ALARM\ti=0\tmark=-1\n",
		"ALARM: field i is missing":                           "ALARM\tmark=1\n",
		"VERDICT: field code cannot be read":                  "VERDICT\ti=0\tid=a\tbackend=b\thop=0\tcode=299\n",
		"DATAGRAM: field data cannot be read":                 "DATAGRAM\ti=0\tsender=1\tdata=xyz\n",
		"PEERS_KNOWN: field rosterId refers to no known list": "PEERS_KNOWN\ti=0\trosterId=9\tkind=Complete\trevision=1\n",
		"ITEM: field status cannot be read":                   "REGISTER\trosterId=0\tlines=1\nITEM\tbackend=b\thall=a\tstatus=Z\n",
		"ENLIST: field settings":                              "ENLIST\ti=0\tentropy=1\tsettings={\n",
		"gateways is 0":                                       "ENLIST\ti=0\tentropy=1\tsettings={}\n",
		"input ended within a batch":                          "",
	} {
		_, err := runInput(t, "CLOCK\ttimeS=1\n"+in)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one with %q", err, want)
		}
	}
	if _, err := runInput(t, requestLine(0, "a")); err == nil {
		t.Error("event outside a batch: got no error, want one")
	}
	if _, err := runInput(t, ""); err != nil {
		t.Errorf("empty input: got error %v, want none", err)
	}
}

// Guards against state that gateways of one process share: the same events give a gateway the same actions with and without another gateway
// beside it.
func TestRun_GatewaysAreIndependent(t *testing.T) {
	var combined, single strings.Builder
	combined.WriteString(startBatch(0))
	single.WriteString(startBatch(0))
	combined.WriteString(startBatch(1))
	for b := range 50 {
		clock := fmt.Sprintf("CLOCK\ttimeS=%g\n", 10.1+float64(b)*0.02)
		gateway0Events := requestLine(0, fmt.Sprint("m", b)) + "ALARM\ti=0\tmark=1\n"
		combined.WriteString(clock + requestLine(1, fmt.Sprint("o", b)) + gateway0Events + "ALARM\ti=1\tmark=1\nYOUR_TURN\n")
		single.WriteString(clock + gateway0Events + "YOUR_TURN\n")
	}
	both, err := runInput(t, combined.String())
	if err != nil {
		t.Fatal(err)
	}
	alone, err := runInput(t, single.String())
	if err != nil {
		t.Fatal(err)
	}
	linesOfGateway0 := func(s string) (kept []string) {
		for line := range strings.Lines(s) {
			if strings.Contains(line, "\ti=0\t") {
				kept = append(kept, line)
			}
		}
		return kept
	}
	a, b := linesOfGateway0(both), linesOfGateway0(alone)
	if len(a) < 50 || strings.Join(a, "") != strings.Join(b, "") {
		t.Fatalf("gateway 0 has %d actions beside another gateway and %d alone, want the same actions and at least 50", len(a), len(b))
	}
}

// Guards the process against a gateway that panics: the panic is reported to the simulator, and the batch still gets its reply.
func TestRun_ReportsPanic(t *testing.T) {
	eventReaders["BOOM"] = func(*host, int) (delivery, error) {
		return func(*policy.Gateway) { panic("broken\tmodule") }, nil
	}
	defer delete(eventReaders, "BOOM")
	out, err := runInput(t, startBatch(0)+"CLOCK\ttimeS=11\nBOOM\ti=0\nYOUR_TURN\n")
	if err != nil || !strings.Contains(out, "FAULT\ti=0\tmsg=broken module\nNEXT\n") {
		t.Fatalf("got error %v, want none and a FAULT with the panic's text:\n%s", err, out)
	}
}
