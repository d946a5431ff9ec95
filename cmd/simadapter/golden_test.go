package main

import (
	"bytes"
	"testing"

	"eiderspread/internal/testbed/golden"
)

// Guards the simulator's protocol and the gateways' decisions: two recorded inputs, one with health checks and one of another kind of site
// with streams, give exactly the stored output.
func TestGoldenRuns(t *testing.T) {
	for _, name := range []string{"checks", "streams"} {
		var out bytes.Buffer
		if err := run(bytes.NewReader(golden.Load(t, name+".in.gz")), &out); err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name+".out.gz", out.Bytes())
	}
}
