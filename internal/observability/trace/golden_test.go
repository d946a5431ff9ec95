package trace

import (
	"bytes"
	"testing"

	"eiderspread/internal/decision/config"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/testbed/golden"
)

// Guards the stored form of a trace file, the names of steps and reasons, and the stored numbers of statuses, idempotency values and
// key scopes. A file written by this version must equal the golden file, and the golden file must decode to the same values.
func TestGoldenFile(t *testing.T) {
	var want File
	golden.Fill(&want.Header)
	golden.Fill(&want.Decisions)
	want.Magic, want.Version, want.Lost = magic, Version, 7
	var b bytes.Buffer
	w, err := NewWriter(&b, want.Header)
	if err != nil {
		t.Fatal(err)
	}
	if err := w.Write(want.Decisions, want.Lost); err != nil {
		t.Fatal(err)
	}
	got, err := Read(bytes.NewReader(golden.Check(t, "run.trace", b.Bytes())))
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "trace", got, &want)
	var names bytes.Buffer
	for step := reason.StepArrived; step.String() != "?"; step++ {
		names.WriteString(step.String() + "\n")
	}
	for _, r := range reason.Reasons() {
		names.WriteString(r.String() + "\n")
	}
	golden.Check(t, "names.txt", names.Bytes())
	golden.Same(t, "numbers of statuses", []config.Status{config.OK, config.Error, config.Rejected, config.Timeout, config.ConnectFailed, config.Reset,
		config.Cancelled, config.NotSent}, []config.Status{0, 1, 2, 3, 4, 5, 6, 7})
	golden.Same(t, "numbers of idempotency values", []config.Idempotency{config.Idempotent, config.KeyedIdempotent, config.NonIdempotent}, []config.Idempotency{0, 1, 2})
	golden.Same(t, "numbers of key scopes", []config.KeyScope{config.ScopeAll, config.ScopeZone, config.ScopeCell}, []config.KeyScope{0, 1, 2})
}
